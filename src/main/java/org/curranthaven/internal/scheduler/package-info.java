/** The control host's side of routed calls: the scheduler, registrations and the catalog. */
@org.jspecify.annotations.NullMarked
package org.curranthaven.internal.scheduler;
