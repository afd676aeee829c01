/**
 * Configuration of service classes, workspaces, models and services: its revisions, their
 * replication, and the leases that keep hosts from serving an outdated one.
 */
@NullMarked
package org.curranthaven.internal.configuration;

import org.jspecify.annotations.NullMarked;
