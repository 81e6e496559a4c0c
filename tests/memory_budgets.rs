//! Tests of the decisions about memory, and of the semaphores that put them in force.

use std::cell::Cell;
use std::rc::Rc;

use lb_sidecar::sidecar::adjustable_semaphore::AdjustableSemaphore;
use lb_sidecar::sidecar::memory::MessageAllowance;
use lb_sidecar::sidecar::memory_pressure::{Allowance, MemoryUse};
use lb_sidecar::sidecar::resource_limits::ResourceLimits;
use proptest::prelude::*;
use runtime::TokioRuntime;
use tokio::task::LocalSet;

const MB: usize = 1 << 20;
/// The resident memory of a process without clients.
const AT_REST: usize = 5 * MB;

/// The most that may be in use with this limit and 1,024 descriptors.
fn maximum(limit: usize) -> Allowance {
    let limits = ResourceLimits { memory: limit, sockets: 1024 };
    let per_side = limits.connections_per_side();
    Allowance { clients: per_side, servers: per_side, messages: limits.message_limits(0).into() }
}

fn messages(requests: usize, responses: usize) -> MessageAllowance {
    MessageAllowance { requests, responses }
}

/// Guards against a sidecar with enough memory that serves fewer clients than before.
#[test]
fn everything_may_be_used_where_it_fits() {
    for limit_mb in [64, 96, 128, 192] {
        let limit = limit_mb * MB;
        let used = MemoryUse { resident: AT_REST, ..MemoryUse::default() };
        assert_eq!(used.allowance(limit, maximum(limit)), maximum(limit), "{limit_mb} MB");
    }
}

/// Guards against bursts that fill the memory before it is measured again.
#[test]
fn parts_that_do_not_fit_together_get_a_share_each() {
    let limit = 32 * MB;
    let used = MemoryUse { resident: AT_REST, ..MemoryUse::default() };
    let allowance = used.allowance(limit, maximum(limit));
    assert!(allowance.clients < maximum(limit).clients, "{allowance:?}");
    assert!(allowance.clients > maximum(limit).clients / 2, "{allowance:?}");
    assert!(allowance.messages.requests > MB, "{allowance:?}");
}

/// Guards against a count that is too low: what is measured goes before it.
#[test]
fn nothing_more_may_be_used_once_the_resident_memory_reaches_the_limit() {
    let limit = 32 * MB;
    let used = MemoryUse {
        resident: 31 * MB,
        clients: 50,
        servers: 40,
        messages: messages(3 * MB, 2 * MB),
        ..MemoryUse::default()
    };
    let allowance = used.allowance(limit, maximum(limit));
    assert_eq!((allowance.clients, allowance.servers), (50, 40));
    assert_eq!(allowance.messages, messages(3 * MB - MB / 2, 2 * MB - MB / 2));
}

/// Guards against bodies and connections that give way to a count that is too high, while less than that is resident.
#[test]
fn what_is_in_use_stays_where_only_the_count_exceeds_the_limit() {
    let limit = 32 * MB;
    let used = MemoryUse {
        resident: 26 * MB,
        clients: 340,
        servers: 340,
        listed_servers: 4700,
        messages: messages(2 * MB, MB),
    };
    assert!(used.counted() > limit, "{}", used.counted());
    let allowance = used.allowance(limit, maximum(limit));
    assert_eq!((allowance.clients, allowance.servers), (340, 340));
    assert_eq!(allowance.messages, messages(2 * MB, MB));
}

/// Guards against clients whose requests wait for memory that only fewer connections would free.
#[test]
fn clients_become_fewer_once_messages_take_the_minimum() {
    let limit = 32 * MB;
    let used = MemoryUse { resident: 31 * MB, clients: 300, servers: 40, ..MemoryUse::default() };
    let allowance = used.allowance(limit, maximum(limit));
    assert!(allowance.clients < 300 && allowance.clients > 200, "{allowance:?}");
    assert!(allowance.messages.requests > 0 && allowance.messages.responses > 0, "{allowance:?}");
}

proptest! {
    /// Guards against allowances that together exceed the limit, whatever is in use and whatever is measured.
    #[test]
    fn what_is_not_used_yet_fits_beside_what_is(
        limit_mb in 16_usize..=192,
        resident_mb in 0_usize..=200,
        clients in 0_usize..=494,
        servers in 0_usize..=494,
        requests in 0_usize..=20 * MB,
        responses in 0_usize..=20 * MB,
        listed_servers in 0_usize..=4800,
    ) {
        let limit = limit_mb * MB;
        let used = MemoryUse {
            resident: resident_mb * MB,
            clients,
            servers,
            listed_servers,
            messages: messages(requests, responses),
        };
        let allowance = used.allowance(limit, maximum(limit));
        let growth = MemoryUse {
            resident: 0,
            clients: allowance.clients.saturating_sub(clients),
            servers: allowance.servers.saturating_sub(servers),
            listed_servers: 0,
            messages: messages(
                allowance.messages.requests.saturating_sub(requests),
                allowance.messages.responses.saturating_sub(responses),
            ),
        };
        let smallest = MemoryUse { clients: 4, servers: 4, messages: messages(256 << 10, 256 << 10), ..MemoryUse::default() };
        let process = MemoryUse::default().counted();
        let left = limit.saturating_sub(used.resident.max(used.counted()));
        prop_assert!(growth.counted() - process <= left.max(smallest.counted() - process));
    }

    /// Guards against permits that are lost or made up when a semaphore changes its size while they are in use.
    #[test]
    fn permits_stay_counted_through_changes_of_size(
        sizes in prop::collection::vec(0_usize..200_000, 1..20),
        takes in prop::collection::vec(1_u32..50_000, 1..20),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let result: Result<(), TestCaseError> = LocalSet::new().block_on(&runtime, async {
            let semaphore = AdjustableSemaphore::new(100_000, Rc::default());
            let mut held = Vec::new();
            for (step, &size) in sizes.iter().enumerate() {
                held.extend(semaphore.try_acquire(takes[step % takes.len()]));
                semaphore.resize::<TokioRuntime>(size);
                if step % 3 == 2 && !held.is_empty() {
                    drop(held.remove(0));
                }
                tokio::task::yield_now().await;
                let in_use: usize = held.iter().map(|permit| permit.num_permits()).sum();
                prop_assert!(semaphore.in_use() >= in_use);
                prop_assert_eq!(semaphore.size(), size);
            }
            held.clear();
            for _ in 0..10 {
                tokio::task::yield_now().await;
            }
            prop_assert_eq!(semaphore.in_use(), 0);
            prop_assert!(!semaphore.has_surplus());
            let size = u32::try_from(semaphore.size()).expect("small");
            prop_assert!(semaphore.try_acquire(size + 1).is_none());
            prop_assert!(size == 0 || semaphore.try_acquire(size).is_some());
            Ok(())
        });
        result?;
    }
}

/// Guards against waits for memory that has become free: whoever finds none has it measured anew.
#[test]
fn shortage_hook_may_add_the_permits_that_are_asked_for() {
    let hook = Rc::default();
    let semaphore = AdjustableSemaphore::new(1, Rc::clone(&hook));
    let calls = Rc::new(Cell::new(0));
    let (counter, added_to) = (calls.clone(), semaphore.clone());
    hook.set(move || {
        counter.set(counter.get() + 1);
        added_to.resize::<TokioRuntime>(10);
    });
    let first = semaphore.try_acquire(1);
    assert_eq!((first.is_some(), calls.get()), (true, 0));
    let more = semaphore.try_acquire(5);
    assert_eq!((more.is_some(), calls.get(), semaphore.in_use()), (true, 1, 6));
}
