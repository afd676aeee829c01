package org.curranthaven.internal.gateway;

import org.curranthaven.internal.supervision.Clock;

/** What calls share on one host. */
record GatewayServices(Router router, EngineClient engines, Clock clock, Metrics metrics) {}
