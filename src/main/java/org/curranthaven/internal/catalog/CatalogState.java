package org.curranthaven.internal.catalog;

import com.google.protobuf.ByteString;

/** The replicated catalog document: the highest revision stays. Not thread-safe. */
public final class CatalogState {
  private long revision;
  private ByteString document = ByteString.EMPTY;

  /**
   * Snapshot of the state.
   *
   * @param revision revision of the document; 0 when there is none
   * @param document the document as the operator sent it
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record Snapshot(long revision, byte[] document) {}

  /** Takes a document unless its revision is not above the one held; returns the one in force. */
  public long replace(long newRevision, byte[] newDocument) {
    if (newRevision > revision) {
      revision = newRevision;
      document = ByteString.copyFrom(newDocument);
    }
    return revision;
  }

  /** Returns the revision in force; 0 when there is none. */
  public long revision() {
    return revision;
  }

  /** Returns the document in force. */
  public ByteString document() {
    return document;
  }

  /** Returns the whole state. */
  public Snapshot snapshot() {
    return new Snapshot(revision, document.toByteArray());
  }

  /** Replaces the whole state. */
  public void restore(Snapshot snapshot) {
    revision = snapshot.revision();
    document = ByteString.copyFrom(snapshot.document());
  }
}
