package org.curranthaven.internal.configuration;

/**
 * One revision in the history.
 *
 * @param revision number of the revision
 * @param changeId id of the change that made it
 * @param operator who asked for it
 * @param edits number of edits in it
 */
public record HistoryEntry(long revision, String changeId, String operator, int edits) {}
