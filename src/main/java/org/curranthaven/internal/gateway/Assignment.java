package org.curranthaven.internal.gateway;

import org.curranthaven.internal.membership.BackendAnnouncement;

/**
 * Backend server chosen for an attempt of a request.
 *
 * @param requestId number of the attempt on this host
 * @param backend latest announcement of the backend server
 * @param priority priority to send to an engine; lower values are served first
 */
public record Assignment(long requestId, BackendAnnouncement backend, int priority) {}
