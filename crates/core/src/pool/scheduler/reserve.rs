//! Reservation of room for large waiting tasks.
//!
//! Small tasks fill each gap before it is large enough for a large task. A large task that finds no
//! room therefore has room reserved on the worker that should have it earliest. It may still start
//! elsewhere, and its reservation is then given up.

use indexmap::IndexMap;

use super::super::fleet::{Fleet, Need};
use super::super::job::{Resources, Step, TaskId};
use super::super::lookahead::{RENEWAL_INTERVAL, RESERVATION_LEASE, Reservation, Sizes};
use super::super::msg::ToAgent;
use super::super::{Uptime, millis, scaled};
use super::place::Candidates;
use super::{Action, Duration, JobId, Name, Note, OpenJob, Scheduler, Tier};

/// Maximum number of reservations of an entry. Each keeps some room idle for a while, so that more
/// of them would cost small tasks more than large ones gain.
const MAX_RESERVATIONS: usize = 8;
/// Number of waiting jobs among which large tasks are looked for.
const MAX_EXAMINED: usize = 48;
/// Number of large tasks that no worker will have room for, after which a search ends.
const MAX_MISSES: usize = 2;
/// Time for which a worker is not asked again after its agent refused or ended a reservation.
const AVOID_TIME: Duration = Duration::from_millis(100);
/// Smoothing factor of the average time that tasks wait.
const WAIT_LEARNING_RATE: f64 = 0.02;
/// Minimum time between two searches for large waiting tasks, each of which may look at all workers.
const SEARCH_INTERVAL: Duration = Duration::from_millis(1);
/// Interval between updates of the needs of large tasks.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a reserved room that was reported free must have been used; the message of
/// the start is then on its way or the agent has lost it.
const MAX_READY_TIME: Duration = Duration::from_millis(200);

/// A reservation that this entry asked for.
#[derive(Clone, Debug)]
struct Asked {
    worker: Name,
    needs: Resources,
    next_renewal: Uptime,
    /// When the agent reported the room free.
    ready_since: Option<Uptime>,
}

/// The reservations of this entry.
#[derive(Clone, Debug, Default)]
pub(super) struct Reservations {
    /// Whether room is reserved at all.
    on: bool,
    asked: IndexMap<TaskId, Asked>,
    /// Needs of recent tasks, by pool.
    sizes: IndexMap<Name, Sizes>,
    /// Moving average of the time that tasks waited, by pool.
    waits: IndexMap<Name, Duration>,
    /// The capacity of a large worker and the share of it from which a task is large, by pool.
    large_from: IndexMap<Name, (Resources, f64)>,
    /// When these are next worked out.
    next_update: Uptime,
    /// When large tasks are next looked for.
    next_search: Uptime,
    /// Workers that are not asked before these times.
    avoided: IndexMap<Name, Uptime>,
}

impl Reservations {
    /// Works out which tasks are large, and returns the needs of the usual large task of each pool.
    fn update(&mut self, now: Uptime, fleet: &Fleet) -> Vec<(Name, Option<Resources>)> {
        self.next_update = now + UPDATE_INTERVAL;
        let mut needs = Vec::new();
        for (pool, sizes) in &self.sizes {
            let capacity = fleet.largest_capacity(pool);
            let share = sizes.large_share(capacity).unwrap_or(f64::INFINITY);
            self.large_from.insert(pool.clone(), (capacity, share));
            needs.push((pool.clone(), sizes.usual_large(capacity)));
        }
        needs
    }

    /// Returns whether a task with these needs is large.
    fn is_large(&self, pool: &Name, needs: Resources) -> bool {
        let from = self.large_from.get(pool);
        from.is_some_and(|(capacity, share)| needs.share_of(*capacity) >= *share)
    }

    /// Records a task that is sent to a worker of the pool.
    pub(super) fn note_placed(&mut self, pool: &Name, needs: Resources, waited: Duration) {
        self.sizes.entry(pool.clone()).or_default().add(needs);
        let mean = self.waits.entry(pool.clone()).or_default();
        *mean = scaled(*mean, 1.0 - WAIT_LEARNING_RATE) + scaled(waited, WAIT_LEARNING_RATE);
    }
}

impl Scheduler {
    /// Switches the reservation of room for large waiting tasks on.
    #[must_use]
    pub fn with_reservations(mut self) -> Self {
        self.reservations.on = true;
        self
    }

    /// Returns the number of reservations that this entry has asked for.
    pub fn reservations(&self) -> usize {
        self.reservations.asked.len()
    }

    /// Gives up, renews and asks for reservations.
    pub(super) fn reserve(&mut self, now: Uptime, out: &mut Vec<Action>) {
        if !self.reservations.on {
            return;
        }
        self.give_up_reservations(now, out);
        if now >= self.reservations.next_update {
            for (pool, needs) in self.reservations.update(now, &self.fleet) {
                self.fleet.set_large_needs(&pool, needs);
            }
        }
        for (task, asked) in &mut self.reservations.asked {
            if now >= asked.next_renewal {
                asked.next_renewal = now + RENEWAL_INTERVAL;
                out.push(Self::request(*task, asked));
            }
        }
        if now < self.reservations.next_search {
            return;
        }
        self.reservations.next_search = now + SEARCH_INTERVAL;
        self.reservations.avoided.retain(|_, until| now < *until);
        let ranks = self.waiting.iter().take(MAX_EXAMINED);
        let jobs: Vec<JobId> = ranks
            .filter(|(tier, ..)| matches!(tier, Tier::InTime | Tier::Started))
            .map(|(.., id)| *id)
            .collect();
        let mut misses = 0;
        for job in jobs {
            if self.reservations.asked.len() >= MAX_RESERVATIONS || misses >= MAX_MISSES {
                break;
            }
            misses += usize::from(!self.reserve_for(now, job, out));
        }
    }

    fn request(task: TaskId, asked: &Asked) -> Action {
        let reservation = Reservation {
            task,
            needs: asked.needs,
            lease_ms: millis(RESERVATION_LEASE),
        };
        Action::Send(asked.worker.clone(), ToAgent::Reserve(reservation))
    }

    /// Asks for a reservation for the job's first ready task if it is large. Returns `false` if no
    /// worker will have room for it.
    fn reserve_for(&mut self, now: Uptime, id: JobId, out: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return true;
        };
        let Some((task, step)) = job.first_ready() else {
            return true;
        };
        let pool = &job.queue.pool;
        if !self.reservations.is_large(pool, step.needs)
            || self.reservations.asked.contains_key(&task)
        {
            return true;
        }
        // Where all tasks wait alike, idle room would only make all of them wait longer.
        let usual_wait = self.reservations.waits.get(pool).copied();
        if now < job.waiting_since(task) + usual_wait.unwrap_or_default() {
            return true;
        }
        let in_time = (job.rank.0 == Tier::InTime).then(|| job.aim.saturating_sub(now));
        let need = Need {
            pool,
            step,
            in_time,
            announced: false,
        };
        let reservations = &self.reservations;
        let is_free = |name: &Name| {
            !reservations.avoided.contains_key(name)
                && !reservations.asked.values().any(|a| a.worker == *name)
                && job.may_add_to(step, task.step, name)
        };
        let Some(prospect) = self.fleet.earliest(now, need, is_free) else {
            return false;
        };
        let asked = Asked {
            worker: prospect.worker.clone(),
            needs: step.needs,
            next_renewal: now + RENEWAL_INTERVAL,
            ready_since: None,
        };
        out.push(Self::request(task, &asked));
        out.push(Action::Note(Note::Reserving {
            task,
            worker: prospect.worker,
            needs: step.needs,
            after: prospect.after,
        }));
        self.reservations.asked.insert(task, asked);
        true
    }

    /// Gives up the reservations of tasks that do not wait any more and of workers that take no runs.
    pub(super) fn give_up_reservations(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let mut ended: Vec<(TaskId, &'static str)> = Vec::new();
        for (task, asked) in &self.reservations.asked {
            let job = self.jobs.get(&task.job);
            let open = self
                .fleet
                .get(&asked.worker)
                .is_some_and(|worker| worker.down_since.is_none() && worker.report.open);
            let unused = asked
                .ready_since
                .is_some_and(|since| now >= since + MAX_READY_TIME);
            let why = match job {
                None => "the job is no longer open",
                Some(job) if !job.waits(*task) => "the task was sent to a worker",
                Some(job) if matches!(job.rank.0, Tier::Late | Tier::AboveShare) => {
                    "other jobs go first"
                }
                Some(_) if !open => "the worker takes no runs",
                Some(_) if unused => "the task could not be sent there",
                Some(_) => continue,
            };
            ended.push((*task, why));
        }
        for (task, why) in ended {
            if let Some(asked) = self.end_reservation(task, why, out) {
                out.push(Action::Send(asked.worker, ToAgent::Unreserve { task }));
            }
        }
    }

    fn end_reservation(
        &mut self,
        task: TaskId,
        why: &'static str,
        out: &mut Vec<Action>,
    ) -> Option<Asked> {
        let asked = self.reservations.asked.swap_remove(&task)?;
        out.push(Action::Note(Note::ReservationEnded {
            task,
            worker: asked.worker.clone(),
            why,
        }));
        Some(asked)
    }

    /// Handles an agent's message of a reservation. Starts the task if its room is free.
    pub(super) fn on_reserved(
        &mut self,
        now: Uptime,
        name: &Name,
        task: TaskId,
        (granted, ready): (bool, bool),
        out: &mut Vec<Action>,
    ) {
        let asked = self.reservations.asked.get_mut(&task);
        let Some(asked) = asked.filter(|asked| asked.worker == *name) else {
            if granted {
                out.push(Action::Send(name.clone(), ToAgent::Unreserve { task }));
            }
            return;
        };
        if !granted {
            let until = now + AVOID_TIME;
            self.reservations.avoided.insert(name.clone(), until);
            self.end_reservation(task, "its agent refused or ended it", out);
            return;
        }
        if !ready {
            return;
        }
        asked.ready_since = Some(now);
        let needs = asked.needs;
        let reserved = Candidates::Reserved(task, name);
        self.place_job(now, task.job, reserved, needs, out);
        let waits = |job: &OpenJob| job.waits(task);
        if !self.jobs.get(&task.job).is_some_and(waits) {
            self.end_reservation(task, "its room was free", out);
        }
    }
}

impl OpenJob {
    /// Returns the first task that is ready for placement.
    fn first_ready(&self) -> Option<(TaskId, &Step)> {
        let task = self.tasks.iter().find(|task| self.is_ready(task))?;
        Some((self.run(task).task, self.step(task)))
    }

    /// Returns since when the task waits.
    fn waiting_since(&self, id: TaskId) -> Uptime {
        let mut tasks = self.tasks.iter();
        let task = tasks.find(|task| (task.step, task.index) == (id.step, id.index));
        task.map_or(self.arrived, |task| task.waiting_since)
    }

    /// Returns whether the task waits for a worker.
    fn waits(&self, id: TaskId) -> bool {
        let mut tasks = self.tasks.iter();
        tasks.any(|task| (task.step, task.index) == (id.step, id.index) && self.is_ready(task))
    }
}
