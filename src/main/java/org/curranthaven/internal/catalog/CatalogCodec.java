package org.curranthaven.internal.catalog;

import org.curranthaven.api.Outcome;

/** Decodes the catalog document that operators write. */
public interface CatalogCodec {
  /** Returns the catalog in the document, or the reason why the document is invalid. */
  Outcome<Catalog> decode(byte[] document);
}
