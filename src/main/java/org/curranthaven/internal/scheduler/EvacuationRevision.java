package org.curranthaven.internal.scheduler;

/**
 * Revision of the evacuated data centres that an order has to name, in the leader's reply to an
 * order that names another or none.
 */
record EvacuationRevision(long revision) {}
