//! Guards admission: fair shares, priorities, deadlines, queue bounds and the adaptive limit.

use std::collections::HashMap;
use std::time::Duration;

use pomelolink::admission::{Action, Arrival, Gate, Limit, Settings, Verdict};
use pomelolink::error::Kind;

const SERVICE_TIME: Duration = Duration::from_millis(100);

fn gate(max_in_flight: u32, max_waiting: usize) -> Gate {
    Gate::new(Settings { max_in_flight, max_waiting, max_wait: Duration::from_secs(1) })
}

fn arrival(workspace: &str, weight: u32, priority: u8, deadline: Duration) -> Arrival {
    let (workspace, class) = (workspace.into(), "chat".into());
    Arrival { workspace, weight, priority, deadline, class, work: 1 }
}

/// Returns a gate that has measured the service time of one completed request.
fn measured_gate(max_in_flight: u32, max_waiting: usize) -> Gate {
    let mut gate = gate(max_in_flight, max_waiting);
    assert_eq!(
        gate.submit(Duration::ZERO, u64::MAX, arrival("a", 1, 5, SERVICE_TIME)),
        Verdict::Admit
    );
    gate.complete(SERVICE_TIME, u64::MAX);
    gate
}

#[test]
fn late_requests_refused() {
    let mut gate = measured_gate(1, 100);
    let now = Duration::from_secs(1);
    assert_eq!(gate.submit(now, 1, arrival("a", 1, 5, now + 2 * SERVICE_TIME)), Verdict::Admit);
    let refused = Verdict::Refuse(Kind::DeadlineTooShort);
    assert_eq!(gate.submit(now, 2, arrival("a", 1, 5, now + SERVICE_TIME)), refused);
    assert_eq!(gate.submit(now, 3, arrival("a", 1, 5, now + 3 * SERVICE_TIME)), Verdict::Wait);
    // The running request takes longer than predicted, so the waiting one would miss its deadline.
    let late = now + 5 * SERVICE_TIME / 2;
    assert_eq!(gate.poll(late)[..], [Action::Refuse(3, Kind::DeadlineTooShort)]);
}

#[test]
fn queue_is_bounded() {
    let mut gate = gate(1, 3);
    let far = Duration::from_secs(100);
    assert_eq!(gate.submit(Duration::ZERO, 0, arrival("a", 1, 5, far)), Verdict::Admit);
    for id in 1..=3 {
        assert_eq!(gate.submit(Duration::ZERO, id, arrival("a", 1, 5, far)), Verdict::Wait);
    }
    let refused = Verdict::Refuse(Kind::Overloaded);
    assert_eq!(gate.submit(Duration::ZERO, 4, arrival("a", 1, 5, far)), refused);
    assert_eq!((gate.in_flight(), gate.waiting()), (1, 3));
    assert_eq!(gate.next_expiry(), Some(Duration::from_secs(1)));
    let actions = gate.poll(Duration::from_secs(1));
    assert_eq!(actions.len(), 3);
    assert!(actions.iter().all(|action| matches!(action, Action::Refuse(_, Kind::Overloaded))));
    assert_eq!(gate.waiting(), 0);
}

#[test]
fn least_important_shed_first() {
    let mut gate = gate(1, 2);
    let far = Duration::from_secs(100);
    for (id, priority) in [(0, 5), (1, 3), (2, 7)] {
        gate.submit(Duration::ZERO, id, arrival("a", 1, priority, far));
    }
    let refused = Verdict::Refuse(Kind::Overloaded);
    assert_eq!(gate.submit(Duration::ZERO, 3, arrival("a", 1, 0, far)), refused);
    assert_eq!(gate.submit(Duration::ZERO, 4, arrival("a", 1, 9, far)), Verdict::Wait);
    assert_eq!(gate.poll(Duration::ZERO)[..], [Action::Refuse(1, Kind::Overloaded)]);
    gate.complete(SERVICE_TIME, 0);
    assert_eq!(gate.poll(SERVICE_TIME)[..], [Action::Admit(4)]);
}

#[test]
fn priority_displaces_no_workspace() {
    let mut gate = gate(2, 6);
    let far = Duration::from_secs(100);
    for id in 0..8 {
        gate.submit(Duration::ZERO, id, arrival("loud", 1, 9, far));
    }
    assert_eq!(gate.submit(Duration::ZERO, 8, arrival("small", 1, 0, far)), Verdict::Wait);
    let actions = gate.poll(Duration::ZERO);
    assert_eq!(actions[..], [Action::Refuse(7, Kind::ShareExceeded)]);
}

#[test]
fn starts_follow_weights() {
    let mut gate = gate(4, 40);
    let mut workspaces: HashMap<u64, &str> = HashMap::new();
    let mut starts: HashMap<&str, u32> = HashMap::new();
    let mut running = Vec::new();
    for step in 0..2_000u64 {
        let now = Duration::from_millis(step * 10);
        for (slot, (workspace, weight)) in [("a", 3), ("b", 1), ("b", 1)].into_iter().enumerate() {
            let id = step * 3 + slot as u64;
            workspaces.insert(id, workspace);
            let verdict =
                gate.submit(now, id, arrival(workspace, weight, 5, now + SERVICE_TIME * 100));
            running.extend((verdict == Verdict::Admit).then_some(id));
        }
        if let Some(id) = (!running.is_empty()).then(|| running.remove(0)) {
            gate.complete(now, id);
        }
        for action in gate.poll(now) {
            if let Action::Admit(id) = action {
                running.push(id);
                *starts.entry(workspaces[&id]).or_default() += 1;
            }
        }
        assert!(gate.in_flight() <= 4 && gate.waiting() <= 40);
    }
    let ratio = f64::from(starts["a"]) / f64::from(starts["b"]);
    assert!((2.5..=3.5).contains(&ratio), "{starts:?}");
}

#[test]
fn slow_class_readmitted() {
    let mut gate = gate(4, 10);
    let slow =
        |now| Arrival { class: "slow".into(), ..arrival("a", 1, 5, now + Duration::from_secs(1)) };
    assert_eq!(gate.submit(Duration::ZERO, 0, slow(Duration::ZERO)), Verdict::Admit);
    let far = Duration::from_secs(100_000);
    assert_eq!(gate.submit(Duration::ZERO, 1, arrival("a", 1, 5, far)), Verdict::Admit);
    let completed = Duration::from_secs(30);
    gate.complete(completed, 0);
    assert_eq!(gate.submit(completed, 2, slow(completed)), Verdict::Refuse(Kind::DeadlineTooShort));
    let later = completed + Duration::from_secs(600);
    assert_eq!(gate.submit(later, 3, slow(later)), Verdict::Admit);
}

#[test]
fn long_waits_refused() {
    let mut gate = measured_gate(1, 100);
    let far = Duration::from_secs(100);
    let verdicts: Vec<_> =
        (0..20).map(|id| gate.submit(SERVICE_TIME, id, arrival("a", 1, 5, far))).collect();
    assert_eq!(
        verdicts[1..11],
        [Verdict::Wait; 10],
        "ten service times fit within the maximum wait of a second"
    );
    assert!(verdicts[11..].iter().all(|verdict| *verdict == Verdict::Refuse(Kind::Overloaded)));
}

#[test]
fn small_workspace_not_starved() {
    let mut gate = measured_gate(1, 100);
    let mut running = None;
    let mut small_waits = Vec::new();
    for step in 0..400u64 {
        let now = SERVICE_TIME * (step as u32 + 2);
        if let Some(id) = running.take() {
            gate.complete(now, id);
        }
        // Two large workspaces together send three times the requests that the gate can start.
        let mut ids = vec![(4 * step, "b"), (4 * step + 1, "c"), (4 * step + 2, "b")];
        if step % 10 == 0 {
            ids.push((4 * step + 3, "small"));
        }
        for (id, workspace) in ids {
            let verdict = gate.submit(now, id, arrival(workspace, 1, 5, now + 100 * SERVICE_TIME));
            running = if verdict == Verdict::Admit { Some(id) } else { running };
            assert!(workspace != "small" || !matches!(verdict, Verdict::Refuse(_)), "{verdict:?}");
        }
        for action in gate.poll(now) {
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
fn cancelled_request_frees_capacity() {
    let mut gate = gate(1, 2);
    let far = Duration::from_secs(100);
    for id in 0..3 {
        gate.submit(Duration::ZERO, id, arrival("a", 1, 5, far));
    }
    gate.cancel(1);
    gate.cancel(0);
    assert_eq!(gate.poll(Duration::ZERO)[..], [Action::Admit(2)]);
}

#[test]
fn limit_follows_latency() {
    // Models an endpoint that runs 20 requests at once and queues the others.
    let latency = |limit: u32| Duration::from_millis(50) * limit.max(20) / 20;
    let mut limit = Limit::new(2, 200);
    for _ in 0..2_000 {
        limit.record(latency(limit.current()), limit.current());
    }
    assert!((15..=60).contains(&limit.current()), "{}", limit.current());
    for _ in 0..100 {
        limit.record(Duration::from_secs(10), limit.current());
    }
    let low = limit.current();
    assert!((2..10).contains(&low), "{low}");
    (0..1_000).for_each(|_| limit.record_overload());
    assert_eq!(limit.current(), 2);
    let idle = limit.current();
    (0..100).for_each(|_| limit.record(Duration::from_millis(50), 0));
    assert!(limit.current() <= idle.max(2), "an unused limit must not grow");
}
