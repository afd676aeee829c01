package org.curranthaven.internal.relay;

/**
 * Migration of a running request.
 *
 * @param target backend server that the request is migrated to; empty if there is no migration
 * @param backup backend server that keeps its backup copy afterwards; empty for none
 */
record Migration(String target, String backup) {
  static final Migration NONE = new Migration("", "");
}
