package org.curranthaven.internal.gateway;

import org.curranthaven.internal.membership.BackendAnnouncement;

/**
 * A backend server chosen for a request.
 *
 * @param requestId number of the request on this host
 * @param backend the server's latest announcement
 * @param priority priority to ask of an engine; lower is served first
 */
public record Assignment(long requestId, BackendAnnouncement backend, int priority) {}
