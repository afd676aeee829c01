package org.curranthaven.internal.relay;

import org.curranthaven.internal.transport.wire.BackendRecord;

/**
 * A call as one backend server gets it.
 *
 * @param workspace workspace that asks; empty where the route needs no key
 * @param deadlineLeftMillis time left for the answer
 * @param urgency rank at an engine; 0 comes first; negative for a plain service
 * @param resumeAfter event after which a stream goes on; empty for all of it
 * @param stateReference where an engine takes the state of the running request from; empty for a
 *     new run
 * @param backupAddress address of the engine that is to keep a copy; empty for none
 */
public record BackendRequest(
    InboundRequest request,
    BackendRecord backend,
    String workspace,
    long deadlineLeftMillis,
    int urgency,
    String resumeAfter,
    String stateReference,
    String backupAddress) {}
