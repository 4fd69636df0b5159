//! Fault injection. Faults have a limited duration and may overlap.

use {
    super::{
        CALM_FROM_MS, DOMAINS, ORGANISATIONS, World, control::Purpose, event::Event, lists, network::Cut,
    },
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
    /// A control instance's process is paused and resumed.
    FreezeControl(usize),
    /// An endpoint crashes and is restarted.
    CrashEndpoint(usize),
    /// An endpoint is paused and resumed.
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
pub enum Mend {
    Link(Cut),
    Loss,
    StartEntry(usize),
    StartControl(usize),
    ThawControl(usize),
    StartEndpoint(usize),
    ThawEndpoint(usize),
    Follow { service: usize, with_old_primary: bool },
    DomainIn(usize),
    GrantKey(usize),
    Lag(usize),
}

/// The faults in progress of which only one may exist at a time.
#[derive(Debug, Default)]
pub struct Faults {
    domain_out: bool,
    key_withdrawn: bool,
}

const KINDS: usize = 11;

/// The additional duration of operators' changes. They must outlast the time limits that the checkers allow.
const LONG_FAULT_MORE: Duration = Duration::from_millis(6_000);
const LOSS_PERCENT: u32 = 5;
const LONG_LAG: Duration = Duration::from_millis(1_500);
const ORDINARY_LAG: Duration = Duration::from_millis(40);

impl World {
    /// Injects the next random fault and schedules another one, unless the time for faults is over.
    pub(super) fn next_fault(&mut self) {
        let left = CALM_FROM_MS.saturating_sub(self.now.as_millis());
        if left < 1_000 {
            return;
        }
        let kind = self.below(KINDS);
        let span = Duration::from_millis((300 + self.below(6_000) as u64).min(left - 500));
        let fault = self.draw(kind);
        let is_long = matches!(fault, Fault::TakeDomainOut(_) | Fault::WithdrawKey(_));
        let span = if is_long { span + LONG_FAULT_MORE } else { span };
        self.bring_about(fault, span);
        let pause = 200 + self.below(2_500) as u64;
        self.after(Duration::from_millis(pause), Event::Fault);
    }

    fn draw(&mut self, kind: usize) -> Fault {
        match kind {
            0 => Fault::CutDomain(self.below(DOMAINS)),
            1 => {
                let from = self.below(DOMAINS);
                Fault::CutOneWay(Cut { from, to: (from + 1 + self.below(DOMAINS - 1)) % DOMAINS })
            }
            2 => Fault::LoseMessages,
            3 => Fault::KillEntry(self.below(self.entries.len())),
            4 => Fault::StopEntry(self.below(self.entries.len())),
            5 => Fault::KillControl(self.below(self.controls.len())),
            6 => Fault::FreezeControl(self.below(self.controls.len())),
            7 => Fault::CrashEndpoint(self.pick_endpoint()),
            8 if self.chance(30) => Fault::LagEndpoint(self.pick_endpoint()),
            8 => Fault::FreezeEndpoint(self.pick_endpoint()),
            9 => Fault::TakeDomainOut(self.below(DOMAINS)),
            _ => Fault::WithdrawKey(self.below(ORGANISATIONS * lists::KEYS)),
        }
    }

    /// Injects a fault and schedules its end.
    pub fn bring_about(&mut self, fault: Fault, span: Duration) {
        match fault {
            Fault::CutDomain(domain) => self.cut_domain(domain, span),
            Fault::CutOneWay(cut) => self.cut_one_way(cut, span),
            Fault::LoseMessages => self.lose_messages(span),
            Fault::KillEntry(index) => self.kill_entry(index, span),
            Fault::StopEntry(index) => self.stop_entry(index, span),
            Fault::KillControl(index) => self.kill_control(index, span),
            Fault::FreezeControl(index) => self.freeze_control_for(index, span),
            Fault::CrashEndpoint(index) => self.crash_endpoint(index, span),
            Fault::FreezeEndpoint(index) => self.freeze_endpoint(index, span),
            Fault::LagEndpoint(index) => self.lag_endpoint(index, span),
            Fault::TakeDomainOut(domain) => self.take_domain_out(domain, span),
            Fault::WithdrawKey(key) => self.withdraw_key(key, span),
        }
    }

    /// Makes two operators apply lists on the same base revision.
    pub fn race_operators(&mut self) {
        self.operators.want(Purpose::Other);
        self.operators.want(Purpose::Other);
    }

    /// Returns the primary of a service's last opened term.
    pub fn primary_of(&self, service: usize) -> Option<usize> {
        self.current_primary(service)
    }

    /// Returns the control leader.
    pub fn leader(&self) -> Option<usize> {
        (0..self.controls.len()).find(|index| self.leads(*index))
    }

    fn note_fault(&mut self, what: &str) {
        self.history.faults.push(format!("{} ms: {what}", self.now.as_millis()));
    }

    fn cut(&mut self, cut: Cut, span: Duration) {
        self.network.cut(cut);
        self.after(span, Event::Mend(Mend::Link(cut)));
    }

    fn cut_domain(&mut self, domain: usize, span: Duration) {
        self.note_fault(&format!("domain {domain} is isolated for {} ms", span.as_millis()));
        for other in (0..DOMAINS).filter(|other| *other != domain) {
            self.cut(Cut { from: domain, to: other }, span);
            self.cut(Cut { from: other, to: domain }, span);
        }
    }

    fn cut_one_way(&mut self, cut: Cut, span: Duration) {
        let Cut { from, to } = cut;
        self.note_fault(&format!(
            "messages from domain {from} to domain {to} are dropped for {} ms",
            span.as_millis()
        ));
        self.cut(cut, span);
    }

    fn lose_messages(&mut self, span: Duration) {
        self.note_fault(&format!("{LOSS_PERCENT}% of messages are lost for {} ms", span.as_millis()));
        self.network.set_loss_percent(LOSS_PERCENT);
        self.after(span, Event::Mend(Mend::Loss));
    }

    fn kill_entry(&mut self, index: usize, span: Duration) {
        if self.entries[index].process.is_none() || self.entries[index].is_stopping() {
            return;
        }
        self.note_fault(&format!("entry {index} is killed for {} ms", span.as_millis()));
        self.end_entry(index);
        self.after(span, Event::Mend(Mend::StartEntry(index)));
    }

    fn stop_entry(&mut self, index: usize, span: Duration) {
        if self.entries[index].process.is_none() || self.entries[index].is_stopping() {
            return;
        }
        self.note_fault(&format!("entry {index} receives a request for a planned stop"));
        self.ask_entry_to_stop(index);
        self.after(span + Duration::from_millis(500), Event::Mend(Mend::StartEntry(index)));
    }

    fn kill_control(&mut self, index: usize, span: Duration) {
        if self.controls[index].run().is_none() {
            return;
        }
        self.note_fault(&format!("control {index} is killed for {} ms", span.as_millis()));
        self.end_control(index);
        self.after(span, Event::Mend(Mend::StartControl(index)));
    }

    fn freeze_control_for(&mut self, index: usize, span: Duration) {
        self.note_fault(&format!("control {index} is frozen for {} ms", span.as_millis()));
        self.freeze_control(index);
        self.after(span, Event::Mend(Mend::ThawControl(index)));
    }

    /// Picks a random endpoint, with a preference for primaries so that failovers are frequent.
    fn pick_endpoint(&mut self) -> usize {
        let mut index = self.below(self.endpoints.len());
        if self.chance(60) {
            index = self.endpoints.iter().position(|one| one.is_primary() && one.is_up).unwrap_or(index);
        }
        index
    }

    fn crash_endpoint(&mut self, index: usize, span: Duration) {
        if !self.endpoints[index].is_up {
            return;
        }
        self.note_fault(&format!("endpoint {index} crashes for {} ms", span.as_millis()));
        self.endpoints[index].crash();
        self.after(span, Event::Mend(Mend::StartEndpoint(index)));
    }

    fn lag_endpoint(&mut self, index: usize, span: Duration) {
        self.note_fault(&format!("endpoint {index} lags for {} ms", span.as_millis()));
        self.endpoints[index].lag = LONG_LAG;
        self.after(span, Event::Mend(Mend::Lag(index)));
    }

    fn freeze_endpoint(&mut self, index: usize, span: Duration) {
        self.note_fault(&format!("endpoint {index} is frozen for {} ms", span.as_millis()));
        self.endpoints[index].is_frozen = true;
        self.after(span, Event::Mend(Mend::ThawEndpoint(index)));
    }

    fn take_domain_out(&mut self, domain: usize, span: Duration) {
        if self.faults.domain_out {
            return;
        }
        self.faults.domain_out = true;
        self.note_fault(&format!("domain {domain} is taken out of service for {} ms", span.as_millis()));
        self.operators.want(Purpose::DomainOut(domain));
        self.after(span, Event::Mend(Mend::DomainIn(domain)));
    }

    fn withdraw_key(&mut self, key: usize, span: Duration) {
        if self.faults.key_withdrawn {
            return;
        }
        self.faults.key_withdrawn = true;
        self.note_fault(&format!("key {key} is withdrawn for {} ms", span.as_millis()));
        self.operators.want(Purpose::WithdrawKey(key));
        self.after(span, Event::Mend(Mend::GrantKey(key)));
    }

    /// Executes an action that ends a fault.
    pub(super) fn mend(&mut self, mend: Mend) {
        match mend {
            Mend::Link(cut) => self.network.mend(cut),
            Mend::Loss => self.network.set_loss_percent(0),
            Mend::StartEntry(index) => self.mend_entry(index),
            Mend::StartControl(index) => {
                if self.controls[index].run().is_none() {
                    self.start_control(index);
                }
            }
            Mend::ThawControl(index) => self.thaw_control(index),
            Mend::StartEndpoint(index) => {
                self.endpoints[index].is_up = true;
                let service = self.endpoints[index].service;
                self.after(
                    Duration::from_millis(2_500),
                    Event::Mend(Mend::Follow { service, with_old_primary: true }),
                );
            }
            Mend::ThawEndpoint(index) => {
                self.endpoints[index].is_frozen = false;
                let service = self.endpoints[index].service;
                self.after(
                    Duration::from_millis(2_500),
                    Event::Mend(Mend::Follow { service, with_old_primary: true }),
                );
            }
            Mend::Follow { service, with_old_primary } => {
                self.follow_primary(service, with_old_primary);
            }
            Mend::DomainIn(domain) => {
                self.faults.domain_out = false;
                self.want_end(Purpose::DomainIn(domain));
            }
            Mend::GrantKey(key) => {
                self.faults.key_withdrawn = false;
                self.want_end(Purpose::GrantKey(key));
            }
            Mend::Lag(index) => self.endpoints[index].lag = ORDINARY_LAG,
        }
    }

    fn mend_entry(&mut self, index: usize) {
        if self.entries[index].is_stopping() {
            // The planned stop is still in progress.
            self.after(Duration::from_millis(500), Event::Mend(Mend::StartEntry(index)));
        } else if self.entries[index].process.is_none() {
            self.start_entry(index);
        }
    }
}
