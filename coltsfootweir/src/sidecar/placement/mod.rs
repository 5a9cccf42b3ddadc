//! Where requests may run: allowed regions and evacuated zones.

pub mod evacuation_set;
pub mod evacuation_task;
pub mod region_filter;
pub mod region_links;
pub mod region_task;
