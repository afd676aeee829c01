package org.curranthaven.internal.gateway;

import org.curranthaven.internal.supervision.Clock;

/** Services shared by all requests on one host. */
record GatewayServices(Router router, EngineClient engines, Clock clock, Metrics metrics) {}
