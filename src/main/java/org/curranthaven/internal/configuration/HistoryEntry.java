package org.curranthaven.internal.configuration;

/**
 * Revision in the history of the configuration.
 *
 * @param revision number of the revision
 * @param changeId id of the change that created it
 * @param operator name of the operator who made the change
 * @param edits number of edits in the change
 */
public record HistoryEntry(long revision, String changeId, String operator, int edits) {}
