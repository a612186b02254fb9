//! Trace records, a seeded generator, and replay of decisions with checks of the outcome.
