//! Idle connections: closes them where connections are scarce, and detects that idle ones no longer work.

use super::*;

impl RuleEngine {
    /// An endpoint whose idle connections are to be closed. Where endpoints accept few connections, idle ones
    /// keep other senders out. They are closed if no webhook is pending for them and either a connect to this
    /// kind of destination failed recently (closing them then costs a handshake for each call), or calls are
    /// further apart than the idle timeout.
    pub(super) fn idle_to_close(&self) -> Option<RuleTarget> {
        let set_index = |kind: &Name| {
            let (scarce_until, delivered) =
                self.connection_scarcity.get(kind).copied().unwrap_or((self.now, 0));
            // Rarely used connections are kept after 30 deliveries without a failed connect: enough connects
            // to notice that connections are scarce.
            if self.now < scarce_until { Some(0) } else { Some(1).filter(|_| delivered < 30) }
        };
        self.unneeded_connections.first(set_index).map(RuleTarget::Route)
    }

    /// Closes the idle connections to an endpoint.
    pub(super) fn close_idle_connections(&mut self, target: RuleTarget, actions: &mut dyn ActionSink) {
        let RuleTarget::Route(endpoint) = target else { return };
        actions.close_idle_connections(&endpoint);
        if let Some(route) = self.routes.get_mut(&endpoint) {
            route.connections = route.calls.len();
            self.pending.changed.insert(route.destination);
        }
    }

    /// Whether calls on connections that had been idle are lost while others are not: something on the path
    /// drops idle connections.
    pub(super) fn idle_connections_fail(&self) -> bool {
        let count = |idle, lost| {
            self.recent_connection_uses.iter().filter(|usage| usage.1 == idle && usage.2 == lost).count()
                as f64
        };
        let (idle_lost, idle_answered) = (count(true, true), count(true, false));
        let fresh_loss_share = (count(false, true) + 1.0) / (count(false, false) + 10.0);
        // At least three, a tenth of them, and twice the share of the others: rarely a coincidence.
        idle_lost >= 3.0 && idle_lost / (idle_lost + idle_answered) > (2.0 * fresh_loss_share).max(0.1)
    }
}
