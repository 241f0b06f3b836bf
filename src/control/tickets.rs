//! Tickets: each lets one request run once, on the VM that issued it and until that VM restarts.

use super::*;

impl Control {
    /// Issues a ticket to the caller's team.
    ///
    /// # Errors
    ///
    /// Refuses the request during a shutdown, or if there is no secret to sign with.
    pub(super) fn issue_ticket(
        &mut self,
        now: Millis,
        request: RequestNumber,
        team: &TeamId,
    ) -> Result<(), Refusal> {
        let number = TicketNumber(self.claims.last_ticket + 1);
        let keys = &self.cluster.settings.session_keys;
        let ticket = Ticket::issue(keys, self.own_name(), number, now, team);
        let Some(ticket) = ticket.filter(|_| self.shutdown.is_serving()) else {
            let message = "This entry VM issues no tickets now; ask again.";
            return Err(Refusal::not_run(RefusalCode::Unavailable, message)
                .with_retry_after(Self::retry_after(request)));
        };
        self.claims.last_ticket = number.0;
        self.emit(Command::IssueTicket { request, ticket: ticket.to_string().into() });
        Ok(())
    }

    /// Checks a request's ticket: it runs on the VM that issued the ticket, or joins the earlier
    /// request with it.
    pub(super) fn gate_ticket(
        &mut self,
        now: Millis,
        gated: GatedArrival,
        ticket: &Ticket,
    ) -> Result<(), Refusal> {
        if !ticket.is_genuine(&self.cluster.settings.session_keys, &gated.profile.team) {
            let message = "The ticket was not issued to this team; get another one.";
            let refusal = Refusal::not_run(RefusalCode::Unprocessable, message);
            return Err(refusal.with_run(RunState::Unknown));
        }
        let request = gated.arrival.request;
        if ticket.issuer != self.own_name() {
            let run = self.billed_run(&BillKey::of_ticket(&ticket.issuer, ticket.number));
            self.claims.gated.insert(request, gated);
            self.forward_to_owner(request, &ticket.issuer, run);
            return Ok(());
        }
        let key = AtMostOnceKey::Ticket(ticket.number);
        if self.claims.table.get(key).is_some() {
            self.join_first(now, gated, key);
            return Ok(());
        }
        if ticket.has_expired(now) {
            let message = "The ticket has expired; get another one for a request that never ran.";
            let run = self.billed_run(&BillKey::of_ticket(&ticket.issuer, ticket.number));
            return Err(Refusal::not_run(RefusalCode::Unprocessable, message).with_run(run));
        }
        let entry = AtMostOnceEntry {
            request,
            fingerprint: gated.arrival.fingerprint,
            stage: AtMostOnceStage::Held { attempt: None },
            waiters: Vec::new(),
            expires: ticket.issued + Millis(Ticket::VALID_MS + 1),
        };
        self.claims.table.insert(key, entry);
        self.gate_bill(now, gated);
        Ok(())
    }
}
