//! Runs a call at the local upstream, if it may run there.

use std::sync::Arc;

use hyper::Method;
use hyper::Response;
use hyper::body::Bytes;

use crate::announce::UpstreamAnnouncement;
use crate::booking_call::answer_from_ledger;
use crate::booking_call::run_booking;
use crate::call::CallReply;
use crate::call::CallRequest;
use crate::call::not_run;
use crate::context::DaemonContext;
use crate::context::lock;
use crate::deadline::CallDeadline;
use crate::hand_over::hand_over;
use crate::outcome::RefusalReason;
use crate::record::RouteClass;
use crate::record::RouteRecord;
use crate::record::TrafficShare;
use crate::route_table::RouteTable;

/// Runs a call at the local upstream, or refuses it.
pub(crate) async fn run_guarded(
    context: &Arc<DaemonContext>,
    call: &CallRequest,
    deadline: CallDeadline,
) -> CallReply {
    if let Some(reply) = answer_from_ledger(context, call) {
        return reply;
    }
    if !context.is_serving() {
        return not_run(RefusalReason::NotServing);
    }
    if lock(&context.poison).is_refused(call.fingerprint, context.now()) {
        return not_run(RefusalReason::Poison);
    }
    let table = context.table.load_full();
    // The daemon that forwarded the call has the route, so the configuration here is older. With
    // this reason the sender may try another daemon.
    let Some(route) = table.find(call.route_path()) else {
        return not_run(RefusalReason::NotServing);
    };
    let Some(announced) = context
        .upstream
        .last_announcement()
        .filter(|own| own.service == route.service)
    else {
        return not_run(RefusalReason::UnknownTarget);
    };
    if is_version_off(context, &table, &announced) {
        return not_run(RefusalReason::VersionOff);
    }
    if call.is_mint() {
        return mint_key(context, call, route);
    }
    match route.class {
        RouteClass::Check => hand_over(context, call, route, deadline, None).await,
        RouteClass::Booking => run_booking(context, call, route, deadline).await,
    }
}

/// Returns whether the version of the local upstream gets no traffic: it is condemned, or it has no
/// share and no move.
fn is_version_off(context: &DaemonContext, table: &RouteTable, own: &UpstreamAnnouncement) -> bool {
    let mut splits = table.splits(&own.service).iter();
    let Some(split) = splits.find(|split| split.version == own.version) else {
        return true;
    };
    match &split.move_name {
        Some(name) => context.index.load().is_condemned(name, &split.version),
        None => split.share == TrafficShare::NONE,
    }
}

/// Returns a booking key to a caller; only the local upstream may run the booking with this key.
fn mint_key(context: &DaemonContext, call: &CallRequest, route: &RouteRecord) -> CallReply {
    if call.method != Method::POST || route.class != RouteClass::Booking {
        return not_run(RefusalReason::BadKey);
    }
    if context.is_leaving() {
        return not_run(RefusalReason::Leaving);
    }
    if context.upstream.address().is_none() {
        return not_run(RefusalReason::UpstreamDown);
    }
    let key = lock(&context.ledger).mint();
    CallReply::ran(Response::new(Bytes::from(format!("{key}\n"))))
}
