//! Fault injection. Faults have a limited duration and may overlap.

use {
    super::{
        DOMAINS, FAULTS_END_MS, ORGANISATIONS, Simulation, control::ChangeKind, event::Event, lists,
        network::Cut,
    },
    cumincart_protocol::time::Instant,
    std::time::Duration,
};

/// A fault, or an action of operators during faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The network drops all messages between a failure domain and the others.
    CutDomain(usize),
    /// The network drops all messages in one direction.
    CutOneWay(Cut),
    /// The network drops a fraction of the messages.
    LoseMessages,
    /// An entry instance's process is killed.
    KillEntry(usize),
    /// An entry instance receives a request for a planned stop.
    StopEntry(usize),
    /// A control instance's process is killed; its stored data is kept.
    KillControl(usize),
    /// A control instance loses its disk and is restarted with an empty one.
    LoseControlDisk(usize),
    /// A control instance's process is frozen and later resumed.
    FreezeControl(usize),
    /// An endpoint crashes and is restarted.
    CrashEndpoint(usize),
    /// An endpoint is frozen and later resumed.
    FreezeEndpoint(usize),
    /// An endpoint's replication lag increases.
    LagEndpoint(usize),
    /// Operators take a failure domain out of service and bring it back.
    TakeDomainOut(usize),
    /// Operators withdraw a key and grant it again. The key's number is twice the organisation plus the key's index.
    WithdrawKey(usize),
}

/// An action that ends a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recovery {
    /// Removes a one-way partition.
    RestoreDirection(Cut),
    /// Ends message loss.
    StopMessageLoss,
    /// Restarts an entry instance.
    StartEntry(usize),
    /// Restarts a control instance.
    StartControl(usize),
    /// Resumes a frozen control instance.
    ResumeControl(usize),
    /// Restarts an endpoint.
    StartEndpoint(usize),
    /// Resumes a frozen endpoint.
    ResumeEndpoint(usize),
    /// Makes a group's endpoints follow the primary of the last opened term.
    FollowPrimary { service: usize, include_former_primary: bool },
    /// Brings a failure domain back into service.
    BringDomainIn(usize),
    /// Grants a withdrawn key again.
    GrantKey(usize),
    /// Restores the normal replication lag of an endpoint.
    RestoreLag(usize),
}

/// The faults in progress of which only one may exist at a time.
#[derive(Debug, Default)]
pub struct Faults {
    is_domain_out: bool,
    is_key_withdrawn: bool,
    /// When the last fault of a control instance, or of the network between them, ends.
    control_disturbed_until: Instant,
}

/// How long a control instance counts as lost after it is back. After that, the next one may be lost.
const CATCH_UP: Duration = Duration::from_millis(4_000);

/// How long a control instance whose disk is lost is down.
const DISK_LOSS_DURATION: Duration = Duration::from_millis(250);

const FAULT_KINDS: usize = 11;

/// The additional duration of operators' changes. They must outlast the time limits that the checkers allow.
const OPERATOR_FAULT_EXTRA_DURATION: Duration = Duration::from_millis(6_000);
const LOSS_PERCENT: u32 = 5;
const INCREASED_LAG: Duration = Duration::from_millis(1_500);
const NORMAL_LAG: Duration = Duration::from_millis(40);

impl Simulation {
    /// Injects the next random fault and schedules another one, unless the time for faults is over.
    pub(super) fn inject_next_fault(&mut self) {
        let left = FAULTS_END_MS.saturating_sub(self.now.as_millis());
        if left < 1_000 {
            return;
        }
        let kind = self.random_below(FAULT_KINDS);
        let duration = Duration::from_millis((300 + self.random_below(6_000) as u64).min(left - 500));
        let fault = self.random_fault(kind);
        let is_operator_change = matches!(fault, Fault::TakeDomainOut(_) | Fault::WithdrawKey(_));
        let duration = if is_operator_change { duration + OPERATOR_FAULT_EXTRA_DURATION } else { duration };
        self.inject(fault, duration);
        let pause = 200 + self.random_below(2_500) as u64;
        self.after(Duration::from_millis(pause), Event::InjectFault);
    }

    fn random_fault(&mut self, kind: usize) -> Fault {
        match kind {
            0 => Fault::CutDomain(self.random_below(DOMAINS)),
            1 => {
                let from = self.random_below(DOMAINS);
                Fault::CutOneWay(Cut { from, to: (from + 1 + self.random_below(DOMAINS - 1)) % DOMAINS })
            }
            2 => Fault::LoseMessages,
            3 => Fault::KillEntry(self.random_below(self.entries.len())),
            4 => Fault::StopEntry(self.random_below(self.entries.len())),
            5 => {
                let index = self.random_below(self.controls.len());
                let is_calm = self.now >= self.faults.control_disturbed_until + CATCH_UP;
                if is_calm { Fault::LoseControlDisk(index) } else { Fault::KillControl(index) }
            }
            6 => Fault::FreezeControl(self.random_below(self.controls.len())),
            7 => Fault::CrashEndpoint(self.pick_endpoint()),
            8 if self.random_chance(30) => Fault::LagEndpoint(self.pick_endpoint()),
            8 => Fault::FreezeEndpoint(self.pick_endpoint()),
            9 => Fault::TakeDomainOut(self.random_below(DOMAINS)),
            _ => Fault::WithdrawKey(self.random_below(ORGANISATIONS * lists::KEYS)),
        }
    }

    /// Injects a fault and schedules its end.
    pub fn inject(&mut self, fault: Fault, duration: Duration) {
        let disturbs_control = matches!(
            fault,
            Fault::CutDomain(_)
                | Fault::CutOneWay(_)
                | Fault::LoseMessages
                | Fault::KillControl(_)
                | Fault::LoseControlDisk(_)
                | Fault::FreezeControl(_)
        );
        if disturbs_control {
            let until = &mut self.faults.control_disturbed_until;
            *until = (*until).max(self.now + duration);
        }
        match fault {
            Fault::CutDomain(domain) => self.cut_domain(domain, duration),
            Fault::CutOneWay(cut) => self.cut_one_way(cut, duration),
            Fault::LoseMessages => self.lose_messages(duration),
            Fault::KillEntry(index) => self.kill_entry(index, duration),
            Fault::StopEntry(index) => self.stop_entry(index, duration),
            Fault::KillControl(index) => self.kill_control(index, duration),
            Fault::LoseControlDisk(index) => self.lose_disk(index),
            Fault::FreezeControl(index) => self.freeze_control_process(index, duration),
            Fault::CrashEndpoint(index) => self.crash_endpoint(index, duration),
            Fault::FreezeEndpoint(index) => self.freeze_endpoint(index, duration),
            Fault::LagEndpoint(index) => self.lag_endpoint(index, duration),
            Fault::TakeDomainOut(domain) => self.take_domain_out(domain, duration),
            Fault::WithdrawKey(key) => self.withdraw_key(key, duration),
        }
    }

    /// Makes two operators apply lists on the same base revision.
    pub fn race_operators(&mut self) {
        self.operators.submit(ChangeKind::ReapplyLists);
        self.operators.submit(ChangeKind::ReapplyLists);
    }

    /// Returns the primary of a service's last opened term.
    pub fn primary_of(&self, service: usize) -> Option<usize> {
        self.current_primary(service)
    }

    /// Returns the control leader.
    pub fn leader(&self) -> Option<usize> {
        (0..self.controls.len()).find(|index| self.is_leader(*index))
    }

    fn record_fault(&mut self, what: &str) {
        self.history.faults.push(format!("{} ms: {what}", self.now.as_millis()));
    }

    fn cut_direction(&mut self, cut: Cut, duration: Duration) {
        self.network.add_cut(cut);
        self.after(duration, Event::Recover(Recovery::RestoreDirection(cut)));
    }

    fn cut_domain(&mut self, domain: usize, duration: Duration) {
        self.record_fault(&format!("domain {domain} is isolated for {} ms", duration.as_millis()));
        for other in (0..DOMAINS).filter(|other| *other != domain) {
            self.cut_direction(Cut { from: domain, to: other }, duration);
            self.cut_direction(Cut { from: other, to: domain }, duration);
        }
    }

    fn cut_one_way(&mut self, cut: Cut, duration: Duration) {
        let Cut { from, to } = cut;
        self.record_fault(&format!(
            "messages from domain {from} to domain {to} are dropped for {} ms",
            duration.as_millis()
        ));
        self.cut_direction(cut, duration);
    }

    fn lose_messages(&mut self, duration: Duration) {
        self.record_fault(&format!("{LOSS_PERCENT}% of messages are lost for {} ms", duration.as_millis()));
        self.network.set_loss_percent(LOSS_PERCENT);
        self.after(duration, Event::Recover(Recovery::StopMessageLoss));
    }

    fn kill_entry(&mut self, index: usize, duration: Duration) {
        if self.entries[index].process.is_none() || self.entries[index].is_stopping() {
            return;
        }
        self.record_fault(&format!("entry {index} is killed for {} ms", duration.as_millis()));
        self.terminate_entry(index);
        self.after(duration, Event::Recover(Recovery::StartEntry(index)));
    }

    fn stop_entry(&mut self, index: usize, duration: Duration) {
        if self.entries[index].process.is_none() || self.entries[index].is_stopping() {
            return;
        }
        self.record_fault(&format!("entry {index} receives a request for a planned stop"));
        self.request_entry_stop(index);
        self.after(duration + Duration::from_millis(500), Event::Recover(Recovery::StartEntry(index)));
    }

    fn kill_control(&mut self, index: usize, duration: Duration) {
        if self.controls[index].incarnation().is_none() {
            return;
        }
        self.record_fault(&format!("control {index} is killed for {} ms", duration.as_millis()));
        self.terminate_control(index);
        self.after(duration, Event::Recover(Recovery::StartControl(index)));
    }

    fn lose_disk(&mut self, index: usize) {
        if self.controls[index].incarnation().is_none() {
            return;
        }
        self.record_fault(&format!("control {index} loses its disk"));
        self.lose_control_disk(index);
        self.after(DISK_LOSS_DURATION, Event::Recover(Recovery::StartControl(index)));
    }

    fn freeze_control_process(&mut self, index: usize, duration: Duration) {
        self.record_fault(&format!("control {index} is frozen for {} ms", duration.as_millis()));
        self.freeze_control(index);
        self.after(duration, Event::Recover(Recovery::ResumeControl(index)));
    }

    /// Picks a random endpoint, with a preference for primaries so that failovers are frequent.
    fn pick_endpoint(&mut self) -> usize {
        let mut index = self.random_below(self.endpoints.len());
        if self.random_chance(60) {
            index = self.endpoints.iter().position(|one| one.is_primary() && one.is_up).unwrap_or(index);
        }
        index
    }

    fn crash_endpoint(&mut self, index: usize, duration: Duration) {
        if !self.endpoints[index].is_up {
            return;
        }
        self.record_fault(&format!("endpoint {index} crashes for {} ms", duration.as_millis()));
        self.endpoints[index].crash();
        self.after(duration, Event::Recover(Recovery::StartEndpoint(index)));
    }

    fn lag_endpoint(&mut self, index: usize, duration: Duration) {
        self.record_fault(&format!("endpoint {index} lags for {} ms", duration.as_millis()));
        self.endpoints[index].lag = INCREASED_LAG;
        self.after(duration, Event::Recover(Recovery::RestoreLag(index)));
    }

    fn freeze_endpoint(&mut self, index: usize, duration: Duration) {
        self.record_fault(&format!("endpoint {index} is frozen for {} ms", duration.as_millis()));
        self.endpoints[index].is_frozen = true;
        self.after(duration, Event::Recover(Recovery::ResumeEndpoint(index)));
    }

    fn take_domain_out(&mut self, domain: usize, duration: Duration) {
        if self.faults.is_domain_out {
            return;
        }
        self.faults.is_domain_out = true;
        self.record_fault(&format!(
            "domain {domain} is taken out of service for {} ms",
            duration.as_millis()
        ));
        self.operators.submit(ChangeKind::DomainOut(domain));
        self.after(duration, Event::Recover(Recovery::BringDomainIn(domain)));
    }

    fn withdraw_key(&mut self, key: usize, duration: Duration) {
        if self.faults.is_key_withdrawn {
            return;
        }
        self.faults.is_key_withdrawn = true;
        self.record_fault(&format!("key {key} is withdrawn for {} ms", duration.as_millis()));
        self.operators.submit(ChangeKind::WithdrawKey(key));
        self.after(duration, Event::Recover(Recovery::GrantKey(key)));
    }

    /// Executes an action that ends a fault.
    pub(super) fn recover(&mut self, recovery: Recovery) {
        match recovery {
            Recovery::RestoreDirection(cut) => self.network.remove_cut(cut),
            Recovery::StopMessageLoss => self.network.set_loss_percent(0),
            Recovery::StartEntry(index) => self.restart_entry(index),
            Recovery::StartControl(index) => {
                if self.controls[index].incarnation().is_none() {
                    self.start_control(index);
                }
            }
            Recovery::ResumeControl(index) => self.resume_control(index),
            Recovery::StartEndpoint(index) => {
                self.endpoints[index].is_up = true;
                let service = self.endpoints[index].service;
                self.after(
                    Duration::from_millis(2_500),
                    Event::Recover(Recovery::FollowPrimary { service, include_former_primary: true }),
                );
            }
            Recovery::ResumeEndpoint(index) => {
                self.endpoints[index].is_frozen = false;
                let service = self.endpoints[index].service;
                self.after(
                    Duration::from_millis(2_500),
                    Event::Recover(Recovery::FollowPrimary { service, include_former_primary: true }),
                );
            }
            Recovery::FollowPrimary { service, include_former_primary } => {
                self.follow_primary(service, include_former_primary);
            }
            Recovery::BringDomainIn(domain) => {
                self.faults.is_domain_out = false;
                self.submit_reversal(ChangeKind::DomainIn(domain));
            }
            Recovery::GrantKey(key) => {
                self.faults.is_key_withdrawn = false;
                self.submit_reversal(ChangeKind::GrantKey(key));
            }
            Recovery::RestoreLag(index) => self.endpoints[index].lag = NORMAL_LAG,
        }
    }

    fn restart_entry(&mut self, index: usize) {
        if self.entries[index].is_stopping() {
            // The planned stop is still in progress.
            self.after(Duration::from_millis(500), Event::Recover(Recovery::StartEntry(index)));
        } else if self.entries[index].process.is_none() {
            self.start_entry(index);
        }
    }
}
