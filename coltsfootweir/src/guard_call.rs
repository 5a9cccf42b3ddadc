//! Decides whether the own upstream may take a call, and has it run.

use std::sync::Arc;

use hyper::Method;
use hyper::Response;
use hyper::body::Bytes;

use crate::announce::UpstreamAnnouncement;
use crate::booking_call::answer_from_ledger;
use crate::booking_call::run_booking;
use crate::call::CallReply;
use crate::call::CallRequest;
use crate::call::refuse;
use crate::context::DaemonContext;
use crate::context::lock;
use crate::deadline::CallDeadline;
use crate::hand_over::hand_over;
use crate::outcome::RefusalReason;
use crate::record::RouteClass;
use crate::record::RouteRecord;
use crate::record::TrafficShare;
use crate::route_table::RouteTable;

/// Runs a call at the own upstream.
pub(crate) async fn run_guarded(
    context: &Arc<DaemonContext>,
    call: &CallRequest,
    deadline: CallDeadline,
) -> CallReply {
    if let Some(reply) = answer_from_ledger(context, call) {
        return reply;
    }
    if !context.is_serving() {
        return refuse(RefusalReason::NotServing);
    }
    if lock(&context.poison).is_refused(call.fingerprint, context.now()) {
        return refuse(RefusalReason::Poison);
    }
    let table = context.table.load_full();
    // The daemon that sent the call has the route; this one is behind, and another may take the call.
    let Some(route) = table.find(call.route_path()) else {
        return refuse(RefusalReason::NotServing);
    };
    let Some(known) = context
        .upstream
        .identity()
        .filter(|own| own.service == route.service)
    else {
        return refuse(RefusalReason::UnknownTarget);
    };
    if is_version_off(context, &table, &known) {
        return refuse(RefusalReason::VersionOff);
    }
    if call.is_mint() {
        return mint_key(context, call, route);
    }
    match route.class {
        RouteClass::Check => hand_over(context, call, route, deadline, None).await,
        RouteClass::Booking => run_booking(context, call, route, deadline).await,
    }
}

/// Returns whether the own version gets no traffic: it was found bad, or has no share and no move.
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

/// Gives a caller a key with which only the own upstream may run a booking.
fn mint_key(context: &DaemonContext, call: &CallRequest, route: &RouteRecord) -> CallReply {
    if call.method != Method::POST || route.class != RouteClass::Booking {
        return refuse(RefusalReason::BadKey);
    }
    if context.is_leaving() {
        return refuse(RefusalReason::Leaving);
    }
    if context.upstream.address().is_none() {
        return refuse(RefusalReason::UpstreamDown);
    }
    let key = lock(&context.ledger).mint();
    CallReply::ran(Response::new(Bytes::from(format!("{key}\n"))))
}
