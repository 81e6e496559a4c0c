//! Lifecycle tests of the real program with scripted peers: the end of a process, a configuration, a watch of
//! discovery, a client or a connection. `docs/design/endings.md` lists the cases.

#[path = "../common/mod.rs"]
mod common;
#[path = "../common/net.rs"]
mod net;

mod attempt_limit;
mod body_memory;
mod connecting;
mod deadlines;
mod discovery;
mod draining;
mod idle_close;
mod lasting_uploads;
mod memory_limit;
mod open_request_ids;
mod paced_responses;
mod rejections;
mod reload;
mod request_contents;
mod request_ids;
mod response_contents;
mod resting_connections;
mod scripted_responses;
mod second_answers;
mod server_answers;
mod shutdown;
mod single_attempts;
mod slow_responses;
mod sound_responses;
mod sound_responses_meanwhile;
mod stalled_clients;
mod support;
mod system_calls;
mod wrong_lengths;
