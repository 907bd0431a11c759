//! The kinds of faults and how often each is injected.

/// Probability of each fault per step, call or submission, in thousandths.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub kill_entry: u32,
    pub kill_agent: u32,
    pub suspend: u32,
    pub cut: u32,
    pub lost_call: u32,
    pub worker_crash: u32,
    pub disconnect: u32,
    /// An agent begins or ends to close its link with one entry.
    pub retire: u32,
    /// A heartbeat with another id and a later start time arrives at an agent.
    pub other_id: u32,
    /// A heartbeat with the worker's id and a later start time that is not the worker's arrives.
    pub other_start_time: u32,
    /// An agent is told that its worker shuts down, which goes on.
    pub leave: u32,
    /// A worker crashes and starts again under its id.
    pub worker_restart: u32,
    /// A heartbeat arrives up to 6 s late.
    pub late_heartbeat: u32,
    /// No call to a worker, or no answer of it, arrives for up to 4 s.
    pub worker_cut: u32,
    /// A worker is cut off in both directions when it has begun a run.
    pub cut_at_start: u32,
    /// Callers pause for 10 to 30 s.
    pub idle: u32,
    /// All workers' clocks are 2% slow.
    pub slow_clocks: bool,
    /// The link between two entries is cut for up to 10 s.
    pub peer_cut: u32,
    /// The link between two entries is closed for up to 5 s.
    pub peer_close: u32,
    /// A caller's connection goes silent: it sends the job again, its entry notices nothing.
    pub silent_caller: u32,
    /// A caller without an answer sends the job again while its connection stays open.
    pub impatient_caller: u32,
    /// A caller cancels its job at any entry.
    pub cancel: u32,
    /// A process acts 5 to 40 ms after it has read the time and its events.
    pub lag: u32,
    /// A process acts 50 to 600 ms after it has read the time and its events.
    pub stall: u32,
    /// Answers to calls that an agent reads at once are handled in any order.
    pub reorder: u32,
}

pub const NO_FAULTS: Faults = Faults {
    kill_entry: 0,
    kill_agent: 0,
    suspend: 0,
    cut: 0,
    lost_call: 0,
    worker_crash: 0,
    disconnect: 0,
    retire: 0,
    other_id: 0,
    other_start_time: 0,
    leave: 0,
    worker_restart: 0,
    late_heartbeat: 0,
    worker_cut: 0,
    cut_at_start: 0,
    idle: 0,
    slow_clocks: false,
    peer_cut: 0,
    peer_close: 0,
    silent_caller: 0,
    impatient_caller: 0,
    cancel: 0,
    lag: 0,
    stall: 0,
    reorder: 0,
};

/// Faults at rates low enough that jobs complete between them.
pub const RARE_FAULTS: Faults = Faults {
    kill_entry: 1,
    kill_agent: 1,
    suspend: 1,
    cut: 2,
    lost_call: 40,
    worker_crash: 1,
    disconnect: 4,
    retire: 1,
    cut_at_start: 1,
    peer_cut: 1,
    peer_close: 1,
    reorder: 100,
    ..NO_FAULTS
};

/// As [`RARE_FAULTS`], at higher rates.
pub const FREQUENT_FAULTS: Faults = Faults {
    kill_entry: 3,
    kill_agent: 3,
    suspend: 5,
    cut: 6,
    lost_call: 80,
    worker_crash: 2,
    disconnect: 20,
    retire: 20,
    worker_cut: 1,
    cut_at_start: 2,
    slow_clocks: true,
    peer_cut: 2,
    peer_close: 2,
    reorder: 300,
    ..NO_FAULTS
};
