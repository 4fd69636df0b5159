//! Faults: one after another, also on top of each other, each mended after a while.

use {
    super::{
        CALM_FROM_MS, DOMAINS, ORGANISATIONS, World, control::Purpose, event::Event, lists, network::Cut,
    },
    std::time::Duration,
};

/// What ends a fault.
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

/// The state of the faults.
#[derive(Debug, Default)]
pub struct Faults {
    domain_out: bool,
    key_withdrawn: bool,
    controls_down: usize,
}

const KINDS: usize = 11;
const LOSS_PERCENT: u32 = 5;
const LONG_LAG: Duration = Duration::from_millis(1_500);
const ORDINARY_LAG: Duration = Duration::from_millis(40);

impl World {
    /// Brings the next fault about, unless the calm has begun.
    pub(super) fn next_fault(&mut self) {
        let left = CALM_FROM_MS.saturating_sub(self.now.as_millis());
        if left < 1_000 {
            return;
        }
        let kind = self.below(KINDS);
        let span = Duration::from_millis((300 + self.below(6_000) as u64).min(left - 500));
        self.bring_about(kind, span);
        let pause = 200 + self.below(2_500) as u64;
        self.after(Duration::from_millis(pause), Event::Fault);
    }

    fn bring_about(&mut self, kind: usize, span: Duration) {
        match kind {
            0 => self.cut_domain(span),
            1 => self.cut_one_way(span),
            2 => self.lose_messages(span),
            3 => self.kill_entry(span),
            4 => self.stop_entry(span),
            5 => self.kill_control(span),
            6 => self.freeze_control_for(span),
            7 => self.crash_endpoint(span),
            8 => self.freeze_endpoint(span),
            9 => self.take_domain_out(span),
            _ => self.withdraw_key(span),
        }
    }

    fn note_fault(&mut self, what: &str) {
        self.history.faults.push(format!("{} ms: {what}", self.now.as_millis()));
    }

    fn cut(&mut self, cut: Cut, span: Duration) {
        self.network.cut(cut);
        self.after(span, Event::Mend(Mend::Link(cut)));
    }

    fn cut_domain(&mut self, span: Duration) {
        let domain = self.below(DOMAINS);
        self.note_fault(&format!("domain {domain} is cut off for {} ms", span.as_millis()));
        for other in (0..DOMAINS).filter(|other| *other != domain) {
            self.cut(Cut { from: domain, to: other }, span);
            self.cut(Cut { from: other, to: domain }, span);
        }
    }

    fn cut_one_way(&mut self, span: Duration) {
        let from = self.below(DOMAINS);
        let to = (from + 1 + self.below(DOMAINS - 1)) % DOMAINS;
        self.note_fault(&format!("nothing goes from domain {from} to {to} for {} ms", span.as_millis()));
        self.cut(Cut { from, to }, span);
    }

    fn lose_messages(&mut self, span: Duration) {
        self.note_fault(&format!("{LOSS_PERCENT}% of messages are lost for {} ms", span.as_millis()));
        self.network.set_loss_percent(LOSS_PERCENT);
        self.after(span, Event::Mend(Mend::Loss));
    }

    fn kill_entry(&mut self, span: Duration) {
        let index = self.below(self.entries.len());
        if self.entries[index].process.is_none() || self.entries[index].is_stopping() {
            return;
        }
        self.note_fault(&format!("entry {index} is killed for {} ms", span.as_millis()));
        self.end_entry(index);
        self.after(span, Event::Mend(Mend::StartEntry(index)));
    }

    fn stop_entry(&mut self, span: Duration) {
        let index = self.below(self.entries.len());
        if self.entries[index].process.is_none() || self.entries[index].is_stopping() {
            return;
        }
        self.note_fault(&format!("entry {index} is asked to stop"));
        self.ask_entry_to_stop(index);
        self.after(span + Duration::from_millis(500), Event::Mend(Mend::StartEntry(index)));
    }

    fn kill_control(&mut self, span: Duration) {
        let index = self.below(self.controls.len());
        if self.controls[index].run().is_none() {
            return;
        }
        self.faults.controls_down += 1;
        self.note_fault(&format!("control {index} is killed for {} ms", span.as_millis()));
        self.end_control(index);
        self.after(span, Event::Mend(Mend::StartControl(index)));
    }

    fn freeze_control_for(&mut self, span: Duration) {
        let index = self.below(self.controls.len());
        self.note_fault(&format!("control {index} is frozen for {} ms", span.as_millis()));
        self.freeze_control(index);
        self.after(span, Event::Mend(Mend::ThawControl(index)));
    }

    /// Prefers a primary, since its loss is what a change of primary is for.
    fn pick_endpoint(&mut self) -> usize {
        let mut index = self.below(self.endpoints.len());
        if self.chance(60) {
            index = self.endpoints.iter().position(|one| one.is_primary() && one.is_up).unwrap_or(index);
        }
        index
    }

    fn crash_endpoint(&mut self, span: Duration) {
        let index = self.pick_endpoint();
        if !self.endpoints[index].is_up {
            return;
        }
        self.note_fault(&format!("endpoint {index} crashes for {} ms", span.as_millis()));
        self.endpoints[index].crash();
        self.after(span, Event::Mend(Mend::StartEndpoint(index)));
    }

    fn freeze_endpoint(&mut self, span: Duration) {
        let index = self.pick_endpoint();
        if self.chance(30) {
            self.note_fault(&format!("endpoint {index} lags for {} ms", span.as_millis()));
            self.endpoints[index].lag = LONG_LAG;
            self.after(span, Event::Mend(Mend::Lag(index)));
            return;
        }
        self.note_fault(&format!("endpoint {index} is frozen for {} ms", span.as_millis()));
        self.endpoints[index].is_frozen = true;
        self.after(span, Event::Mend(Mend::ThawEndpoint(index)));
    }

    fn take_domain_out(&mut self, span: Duration) {
        if self.faults.domain_out {
            return;
        }
        let domain = self.below(DOMAINS);
        let span = span + Duration::from_millis(4_500);
        self.faults.domain_out = true;
        self.note_fault(&format!("domain {domain} is taken out for {} ms", span.as_millis()));
        self.operators.want(Purpose::DomainOut(domain));
        self.after(span, Event::Mend(Mend::DomainIn(domain)));
    }

    fn withdraw_key(&mut self, span: Duration) {
        if self.faults.key_withdrawn {
            return;
        }
        let key = self.below(ORGANISATIONS * lists::KEYS);
        let span = span + Duration::from_millis(6_000);
        self.faults.key_withdrawn = true;
        self.note_fault(&format!("key {key} is withdrawn for {} ms", span.as_millis()));
        self.operators.want(Purpose::WithdrawKey(key));
        self.after(span, Event::Mend(Mend::GrantKey(key)));
    }

    /// Ends a fault.
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
            // The planned stop is still under way.
            self.after(Duration::from_millis(500), Event::Mend(Mend::StartEntry(index)));
        } else if self.entries[index].process.is_none() {
            self.start_entry(index);
        }
    }
}
