package org.curranthaven.internal.catalog;

import org.curranthaven.api.Outcome;

/** Reads the document in which operators write a catalog. */
public interface CatalogCodec {
  /** Returns the catalog that the document holds, or why it is invalid. */
  Outcome<Catalog> decode(byte[] document);
}
