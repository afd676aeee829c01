package org.curranthaven.internal.relay;

import org.curranthaven.internal.transport.wire.BackendRecord;

/**
 * A caller's request together with what is sent along to one backend server.
 *
 * @param workspace workspace of the caller; empty where the route needs no key
 * @param deadlineLeftMillis time left until the response must be complete
 * @param urgency rank among the requests of an engine, 0 being the most urgent; negative for a
 *     plain service
 * @param resumeAfter id of the event after which a stream resumes; empty for the whole stream
 * @param stateReference where an engine gets the state of the running request from; empty for a new
 *     generation
 * @param backupAddress address of the engine that keeps the backup copy; empty for none
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
