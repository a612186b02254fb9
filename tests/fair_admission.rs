//! Guards admission: shares, priorities, deadlines, bounds of the queue and the adaptive limit.

use std::collections::HashMap;
use std::time::Duration;

use pomelolink::admission::{Action, Ask, Gate, Limit, Settings, Verdict};
use pomelolink::error::Kind;

const SERVICE: Duration = Duration::from_millis(100);

fn gate(in_flight: u32, queue: usize) -> Gate {
    Gate::new(Settings { in_flight, queue, wait: Duration::from_secs(1) })
}

fn ask(workspace: &str, share: u32, priority: u8, deadline: Duration) -> Ask {
    let (workspace, class) = (workspace.into(), "chat".into());
    Ask { workspace, share, priority, deadline, class, work: 1 }
}

/// Runs one request to its end, so that the gate has measured a service time.
fn measured(in_flight: u32, queue: usize) -> Gate {
    let mut gate = gate(in_flight, queue);
    assert_eq!(gate.arrive(Duration::ZERO, u64::MAX, ask("a", 1, 5, SERVICE)), Verdict::Admit);
    gate.finished(SERVICE, u64::MAX);
    gate
}

#[test]
fn a_request_that_would_miss_its_deadline_is_refused() {
    let mut gate = measured(1, 100);
    let now = Duration::from_secs(1);
    assert_eq!(gate.arrive(now, 1, ask("a", 1, 5, now + 2 * SERVICE)), Verdict::Admit);
    let refused = Verdict::Refuse(Kind::DeadlineTooShort);
    assert_eq!(gate.arrive(now, 2, ask("a", 1, 5, now + SERVICE)), refused);
    assert_eq!(gate.arrive(now, 3, ask("a", 1, 5, now + 3 * SERVICE)), Verdict::Wait);
    // The running request takes longer than predicted, so the waiting one no longer fits.
    let late = now + 5 * SERVICE / 2;
    assert_eq!(gate.ready(late)[..], [Action::Refuse(3, Kind::DeadlineTooShort)]);
}

#[test]
fn waiting_is_bounded_in_number_and_time() {
    let mut gate = gate(1, 3);
    let far = Duration::from_secs(100);
    assert_eq!(gate.arrive(Duration::ZERO, 0, ask("a", 1, 5, far)), Verdict::Admit);
    for id in 1..=3 {
        assert_eq!(gate.arrive(Duration::ZERO, id, ask("a", 1, 5, far)), Verdict::Wait);
    }
    let refused = Verdict::Refuse(Kind::Overloaded);
    assert_eq!(gate.arrive(Duration::ZERO, 4, ask("a", 1, 5, far)), refused);
    assert_eq!((gate.in_flight(), gate.waiting()), (1, 3));
    assert_eq!(gate.next_expiry(), Some(Duration::from_secs(1)));
    let actions = gate.ready(Duration::from_secs(1));
    assert_eq!(actions.len(), 3);
    assert!(actions.iter().all(|action| matches!(action, Action::Refuse(_, Kind::Overloaded))));
    assert_eq!(gate.waiting(), 0);
}

#[test]
fn the_least_important_request_is_shed_first() {
    let mut gate = gate(1, 2);
    let far = Duration::from_secs(100);
    for (id, priority) in [(0, 5), (1, 3), (2, 7)] {
        gate.arrive(Duration::ZERO, id, ask("a", 1, priority, far));
    }
    let refused = Verdict::Refuse(Kind::Overloaded);
    assert_eq!(gate.arrive(Duration::ZERO, 3, ask("a", 1, 0, far)), refused);
    assert_eq!(gate.arrive(Duration::ZERO, 4, ask("a", 1, 9, far)), Verdict::Wait);
    assert_eq!(gate.ready(Duration::ZERO)[..], [Action::Refuse(1, Kind::Overloaded)]);
    gate.finished(SERVICE, 0);
    assert_eq!(gate.ready(SERVICE)[..], [Action::Admit(4)]);
}

#[test]
fn a_workspace_cannot_displace_others_by_priority() {
    let mut gate = gate(2, 6);
    let far = Duration::from_secs(100);
    for id in 0..8 {
        gate.arrive(Duration::ZERO, id, ask("loud", 1, 9, far));
    }
    assert_eq!(gate.arrive(Duration::ZERO, 8, ask("small", 1, 0, far)), Verdict::Wait);
    let actions = gate.ready(Duration::ZERO);
    assert_eq!(actions[..], [Action::Refuse(7, Kind::ShareExceeded)]);
}

#[test]
fn starts_follow_the_weights_of_busy_workspaces() {
    let mut gate = gate(4, 40);
    let mut admitted: HashMap<u64, &str> = HashMap::new();
    let mut started: HashMap<&str, u32> = HashMap::new();
    let mut running = Vec::new();
    for step in 0..2_000u64 {
        let now = Duration::from_millis(step * 10);
        for (slot, (workspace, share)) in [("a", 3), ("b", 1), ("b", 1)].into_iter().enumerate() {
            let id = step * 3 + slot as u64;
            admitted.insert(id, workspace);
            let verdict = gate.arrive(now, id, ask(workspace, share, 5, now + SERVICE * 100));
            running.extend((verdict == Verdict::Admit).then_some(id));
        }
        if let Some(id) = (!running.is_empty()).then(|| running.remove(0)) {
            gate.finished(now, id);
        }
        for action in gate.ready(now) {
            if let Action::Admit(id) = action {
                running.push(id);
                *started.entry(admitted[&id]).or_default() += 1;
            }
        }
        assert!(gate.in_flight() <= 4 && gate.waiting() <= 40);
    }
    let ratio = f64::from(started["a"]) / f64::from(started["b"]);
    assert!((2.5..=3.5).contains(&ratio), "{started:?}");
}

#[test]
fn a_class_that_was_slow_is_tried_again_while_others_keep_the_gate_busy() {
    let mut gate = gate(4, 10);
    let slow = |now| Ask { class: "slow".into(), ..ask("a", 1, 5, now + Duration::from_secs(1)) };
    assert_eq!(gate.arrive(Duration::ZERO, 0, slow(Duration::ZERO)), Verdict::Admit);
    let far = Duration::from_secs(100_000);
    assert_eq!(gate.arrive(Duration::ZERO, 1, ask("a", 1, 5, far)), Verdict::Admit);
    let slowed = Duration::from_secs(30);
    gate.finished(slowed, 0);
    assert_eq!(gate.arrive(slowed, 2, slow(slowed)), Verdict::Refuse(Kind::DeadlineTooShort));
    let later = slowed + Duration::from_secs(600);
    assert_eq!(gate.arrive(later, 3, slow(later)), Verdict::Admit);
}

#[test]
fn a_request_that_would_wait_too_long_is_refused_at_once() {
    let mut gate = measured(1, 100);
    let far = Duration::from_secs(100);
    let verdicts: Vec<_> =
        (0..20).map(|id| gate.arrive(SERVICE, id, ask("a", 1, 5, far))).collect();
    assert_eq!(verdicts[1..11], [Verdict::Wait; 10], "ten fit within a second");
    assert!(verdicts[11..].iter().all(|verdict| *verdict == Verdict::Refuse(Kind::Overloaded)));
}

#[test]
fn a_small_workspace_is_served_although_large_ones_wait() {
    let mut gate = measured(1, 100);
    let mut running = None;
    let mut small_waits = Vec::new();
    for step in 0..400u64 {
        let now = SERVICE * (step as u32 + 2);
        if let Some(id) = running.take() {
            gate.finished(now, id);
        }
        // Two large workspaces ask for four times what the gate can start.
        let mut ids = vec![(4 * step, "b"), (4 * step + 1, "c"), (4 * step + 2, "b")];
        if step % 10 == 0 {
            ids.push((4 * step + 3, "small"));
        }
        for (id, workspace) in ids {
            let verdict = gate.arrive(now, id, ask(workspace, 1, 5, now + 100 * SERVICE));
            running = if verdict == Verdict::Admit { Some(id) } else { running };
            assert!(workspace != "small" || !matches!(verdict, Verdict::Refuse(_)), "{verdict:?}");
        }
        for action in gate.ready(now) {
            match action {
                Action::Admit(id) => {
                    running = Some(id);
                    small_waits.extend((id % 4 == 3).then_some(step - id / 4));
                }
                Action::Refuse(id, _) => assert_ne!(id % 4, 3, "small request {id} was refused"),
            }
        }
    }
    assert!(
        small_waits.len() >= 39 && small_waits.iter().all(|steps| *steps <= 3),
        "{small_waits:?}"
    );
}

#[test]
fn a_cancelled_request_frees_its_place() {
    let mut gate = gate(1, 2);
    let far = Duration::from_secs(100);
    for id in 0..3 {
        gate.arrive(Duration::ZERO, id, ask("a", 1, 5, far));
    }
    gate.cancelled(1);
    gate.cancelled(0);
    assert_eq!(gate.ready(Duration::ZERO)[..], [Action::Admit(2)]);
}

#[test]
fn the_limit_follows_latency_between_floor_and_cap() {
    // A model of an endpoint that runs 20 requests at once and makes the others wait.
    let latency = |limit: u32| Duration::from_millis(50) * limit.max(20) / 20;
    let mut limit = Limit::new(2, 200);
    for _ in 0..2_000 {
        limit.sample(latency(limit.current()), limit.current());
    }
    assert!((15..=60).contains(&limit.current()), "{}", limit.current());
    for _ in 0..100 {
        limit.sample(Duration::from_secs(10), limit.current());
    }
    let low = limit.current();
    assert!((2..10).contains(&low), "{low}");
    (0..1_000).for_each(|_| limit.overloaded());
    assert_eq!(limit.current(), 2);
    let idle = limit.current();
    (0..100).for_each(|_| limit.sample(Duration::from_millis(50), 0));
    assert!(limit.current() <= idle.max(2), "an unused limit must not grow");
}
