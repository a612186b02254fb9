//! Seeded traces of the two companies that `docs/design.md` describes in section 1.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use xxhash_rust::xxh3;

use super::{BLOCK_TOKENS, Record};

pub const CHAT: &str = "POST /v1/chat/completions";
pub const LOOKUP: &str = "GET /slots";
pub const BOOKING: &str = "POST /bookings";

/// Some JSON readers keep integers exactly only up to this number of bits.
const ID_BITS: u32 = 53;

const DAY_S: f64 = 86_400.0;
const MONTH_S: f64 = 30.0 * DAY_S;

/// Describes a kind of conversation.
#[derive(Debug, Clone, Copy)]
pub struct Talk {
    pub service: &'static str,
    /// Part of the company's conversations.
    pub part: f64,
    pub priority: u8,
    /// Mean number of turns.
    pub turns: f64,
    /// Range of the tokens of a caller's message.
    pub message: (u32, u32),
    /// Range of the tokens of a response.
    pub response: (u32, u32),
}

/// Describes the demand of one company.
#[derive(Debug, Clone)]
pub struct Company {
    pub name: &'static str,
    /// Conversations started per second at the daily peak of the first day.
    pub conversations: f64,
    /// Plain requests per second at the same time, and the part of them that are bookings.
    pub plain: f64,
    pub bookings: f64,
    /// Factor by which demand changes per month of 30 days.
    pub monthly: f64,
    /// Workspaces by weight of demand; a few are large.
    pub workspaces: Vec<(Arc<str>, f64)>,
    /// Tokens of the system prompt of a workspace.
    pub system: (u32, u32),
    /// Documents per workspace that conversations start from, such as product sheets.
    pub documents: u32,
    pub document: (u32, u32),
    pub talks: Vec<Talk>,
    /// Seconds between a response and the next message.
    pub pause: (f64, f64),
}

/// Gives the demand of Jernhjem Støbejern: questions and long workshop reports.
pub fn jernhjem() -> Company {
    let talks = vec![
        Talk {
            service: "assistant",
            part: 0.8,
            priority: 6,
            turns: 4.0,
            message: (30, 250),
            response: (60, 350),
        },
        Talk {
            service: "report",
            part: 0.2,
            priority: 2,
            turns: 1.5,
            message: (200, 1_500),
            response: (600, 1_800),
        },
    ];
    Company {
        name: "jernhjem",
        conversations: 2.0,
        plain: 20.0,
        bookings: 0.1,
        monthly: 0.97,
        workspaces: workspaces("jernhjem"),
        system: (800, 2_500),
        documents: 40,
        document: (500, 3_000),
        talks,
        pause: (10.0, 90.0),
    }
}

/// Gives the demand of Montaggio Pronto: plans, chat and tags of messages.
pub fn montaggio() -> Company {
    let talks = vec![
        Talk {
            service: "plan",
            part: 0.2,
            priority: 4,
            turns: 3.0,
            message: (100, 600),
            response: (300, 900),
        },
        Talk {
            service: "chat",
            part: 0.5,
            priority: 7,
            turns: 5.0,
            message: (20, 150),
            response: (40, 250),
        },
        Talk {
            service: "tag",
            part: 0.3,
            priority: 3,
            turns: 1.0,
            message: (30, 200),
            response: (2, 10),
        },
    ];
    Company {
        name: "montaggio",
        conversations: 1.5,
        plain: 30.0,
        bookings: 0.3,
        monthly: 0.96,
        workspaces: workspaces("montaggio"),
        system: (600, 1_800),
        documents: 60,
        document: (400, 2_000),
        talks,
        pause: (5.0, 60.0),
    }
}

fn workspaces(company: &str) -> Vec<(Arc<str>, f64)> {
    let weights = [0.45, 0.3, 0.15, 0.06, 0.04];
    let named = weights.iter().enumerate();
    named.map(|(index, weight)| (format!("{company}-{}", index + 1).into(), *weight)).collect()
}

impl Company {
    /// Gives the demand at a time, relative to the peak of the first day.
    pub fn demand(&self, at: Duration) -> f64 {
        let seconds = at.as_secs_f64();
        // Demand is lowest at 04:00 and highest at 14:00.
        let hour = seconds % DAY_S / 3_600.0;
        let angle = if (4.0..14.0).contains(&hour) {
            (hour - 4.0) / 10.0
        } else {
            1.0 - (hour + 10.0) % 24.0 / 14.0
        };
        let daily = 0.2 + 0.8 * (1.0 - (angle * std::f64::consts::PI).cos()) / 2.0;
        daily * self.monthly.powf(seconds / MONTH_S)
    }
}

/// Holds a conversation between two of its turns.
#[derive(Debug)]
struct Conversation {
    id: u64,
    workspace: usize,
    talk: usize,
    turns_left: u32,
    /// Parts of the prompt so far: name and tokens.
    parts: Vec<(u64, u32)>,
}

/// Generates the records of a company in order of time.
#[derive(Debug)]
pub struct Generator {
    company: Company,
    random: StdRng,
    start: Duration,
    end: Duration,
    next_start: Duration,
    next_plain: Duration,
    waiting: BinaryHeap<Reverse<(Duration, u64)>>,
    open: std::collections::HashMap<u64, Conversation>,
    ids: u64,
}

impl Generator {
    /// Generates demand from `start`, counted from midnight of the first day, for `length`.
    pub fn new(company: Company, seed: u64, start: Duration, length: Duration) -> Generator {
        let mut generator = Generator {
            company,
            random: StdRng::seed_from_u64(seed),
            start,
            end: start + length,
            next_start: start,
            next_plain: start,
            waiting: BinaryHeap::new(),
            open: std::collections::HashMap::new(),
            ids: 0,
        };
        generator.next_start = generator.after(start, generator.company.conversations);
        generator.next_plain = generator.after(start, generator.company.plain);
        generator
    }

    /// Draws the time of the next event of a rate that follows the demand.
    fn after(&mut self, now: Duration, rate: f64) -> Duration {
        let rate = (rate * self.company.demand(now)).max(1e-6);
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        now + Duration::from_secs_f64(gap.min(DAY_S))
    }

    fn pick_workspace(&mut self) -> usize {
        let weights: Vec<f64> = self.company.workspaces.iter().map(|(_, weight)| *weight).collect();
        self.pick(&weights)
    }

    fn pick(&mut self, weights: &[f64]) -> usize {
        let total: f64 = weights.iter().sum();
        let mut left = self.random.random::<f64>() * total;
        for (index, weight) in weights.iter().enumerate() {
            left -= weight;
            if left < 0.0 {
                return index;
            }
        }
        weights.len().saturating_sub(1)
    }

    /// Gives a length that belongs to a name, so that it is the same in every trace of a company.
    fn fixed(&self, name: u64, (least, most): (u32, u32)) -> u32 {
        least + (name % u64::from(most - least + 1)) as u32
    }

    fn range(&mut self, (least, most): (u32, u32)) -> u32 {
        self.random.random_range(least..=most)
    }

    fn open_conversation(&mut self) -> Conversation {
        let workspace = self.pick_workspace();
        let parts: Vec<f64> = self.company.talks.iter().map(|talk| talk.part).collect();
        let talk = self.pick(&parts);
        let name = &self.company.workspaces[workspace].0;
        let service = self.company.talks[talk].service;
        let system = hash(&[xxh3::xxh3_64(name.as_bytes()), xxh3::xxh3_64(service.as_bytes())]);
        // Popularity of documents falls with their number, as is usual for catalogues.
        let document = self.random.random::<f64>().powi(2) * f64::from(self.company.documents);
        let document = hash(&[system, document as u64 + 1]);
        let parts = vec![
            (system, self.fixed(system, self.company.system)),
            (document, self.fixed(document, self.company.document)),
        ];
        self.ids += 1;
        let mean = self.company.talks[talk].turns;
        let mut turns_left = 1;
        while turns_left < 20 && self.random.random::<f64>() > 1.0 / mean {
            turns_left += 1;
        }
        Conversation { id: self.ids, workspace, talk, turns_left, parts }
    }

    /// Gives the record of the next turn and schedules the one after it.
    fn turn(&mut self, now: Duration, mut conversation: Conversation) -> Record {
        let talk = self.company.talks[conversation.talk];
        let message = self.range(talk.message);
        let response = self.range(talk.response);
        let salt = self.random.random();
        conversation.parts.push((hash(&[conversation.id, salt, 1]), message));
        let record = Record {
            timestamp: (now - self.start).as_millis() as u64,
            input_length: conversation.parts.iter().map(|(_, tokens)| tokens).sum(),
            output_length: response,
            hash_ids: chain(&conversation.parts),
            workspace: self.company.workspaces[conversation.workspace].0.clone(),
            service: talk.service.into(),
            route: CHAT.into(),
            priority: talk.priority,
        };
        conversation.turns_left -= 1;
        if conversation.turns_left > 0 {
            conversation.parts.push((hash(&[conversation.id, salt, 2]), response));
            let (least, most) = self.company.pause;
            // A caller reads while the response arrives, at about 20 tokens per second.
            let pause = self.random.random_range(least..=most) + f64::from(response) / 20.0;
            let id = conversation.id;
            self.waiting.push(Reverse((now + Duration::from_secs_f64(pause), id)));
            self.open.insert(id, conversation);
        }
        record
    }

    fn plain(&mut self, now: Duration) -> Record {
        let workspace = self.pick_workspace();
        let booking = self.random.random::<f64>() < self.company.bookings;
        Record {
            timestamp: (now - self.start).as_millis() as u64,
            input_length: 0,
            output_length: 0,
            hash_ids: Vec::new(),
            workspace: self.company.workspaces[workspace].0.clone(),
            service: "booking".into(),
            route: if booking { BOOKING } else { LOOKUP }.into(),
            priority: if booking { 9 } else { 5 },
        }
    }
}

impl Iterator for Generator {
    type Item = Record;

    fn next(&mut self) -> Option<Record> {
        let turn = self.waiting.peek().map_or(Duration::MAX, |Reverse((at, _))| *at);
        let now = turn.min(self.next_start).min(self.next_plain);
        if now >= self.end {
            return None;
        }
        if now == turn {
            let Reverse((_, id)) = self.waiting.pop()?;
            let conversation = self.open.remove(&id)?;
            return Some(self.turn(now, conversation));
        }
        if now == self.next_plain {
            self.next_plain = self.after(now, self.company.plain);
            return Some(self.plain(now));
        }
        self.next_start = self.after(now, self.company.conversations);
        let conversation = self.open_conversation();
        Some(self.turn(now, conversation))
    }
}

fn hash(words: &[u64]) -> u64 {
    words.iter().fold(0, |chain, word| xxh3::xxh3_64_with_seed(&word.to_le_bytes(), chain))
}

/// Gives the hash chain of the full blocks of a prompt that consists of named parts.
fn chain(parts: &[(u64, u32)]) -> Vec<u64> {
    let mut ids = Vec::new();
    let mut state = 0;
    let mut filled = 0;
    for &(name, tokens) in parts {
        let mut used = 0;
        while used < tokens {
            let taken = (BLOCK_TOKENS - filled).min(tokens - used);
            state = hash(&[state, name, u64::from(used), u64::from(taken)]);
            used += taken;
            filled += taken;
            if filled == BLOCK_TOKENS {
                ids.push((state >> (64 - ID_BITS)).max(1));
                filled = 0;
            }
        }
    }
    ids
}
