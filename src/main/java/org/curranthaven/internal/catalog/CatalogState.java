package org.curranthaven.internal.catalog;

import com.google.protobuf.ByteString;

/** Replicated catalog document; the one with the highest revision wins. Not thread-safe. */
public final class CatalogState {
  private long revision;
  private ByteString document = ByteString.EMPTY;

  /**
   * Snapshot of the state.
   *
   * @param revision revision of the document; 0 if there is none
   * @param document the document as the operator sent it
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record Snapshot(long revision, byte[] document) {}

  /** Stores the document if its revision is higher; returns the revision stored afterwards. */
  public long replace(long newRevision, byte[] newDocument) {
    if (newRevision > revision) {
      revision = newRevision;
      document = ByteString.copyFrom(newDocument);
    }
    return revision;
  }

  /** Returns the stored revision; 0 if there is no document. */
  public long revision() {
    return revision;
  }

  /** Returns the stored document; empty if there is none. */
  public ByteString document() {
    return document;
  }

  /** Returns a snapshot of the state. */
  public Snapshot snapshot() {
    return new Snapshot(revision, document.toByteArray());
  }

  /** Replaces the state by a snapshot. */
  public void restore(Snapshot snapshot) {
    revision = snapshot.revision();
    document = ByteString.copyFrom(snapshot.document());
  }
}
