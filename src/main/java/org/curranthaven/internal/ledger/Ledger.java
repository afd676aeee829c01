package org.curranthaven.internal.ledger;

import com.google.protobuf.ByteString;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.transport.wire.StoredResponse;

/**
 * Idempotency ledger: claims requests that must not be executed twice and stores their responses.
 * Thread-safe; all methods block.
 */
public interface Ledger {
  /**
   * Claims a request. Must succeed before the first byte of the request is sent to a backend
   * server.
   *
   * @return state of the claim; a failure is to be returned to the caller of the request and means
   *     that this attempt is not known to own the claim and must not run
   */
  Outcome<Claim> claim(ClaimRequest request) throws InterruptedException;

  /** Stores the response of a claimed request; returns whether it is known to be stored. */
  boolean complete(ClaimRequest request, StoredResponse response) throws InterruptedException;

  /** Releases the claim of a request that is known not to have been executed. */
  void release(ClaimRequest request) throws InterruptedException;

  /**
   * Identifies a request and the attempt that claims it.
   *
   * @param workspace workspace of the caller
   * @param key idempotency key
   * @param issuedAtMillis time at which the key was issued, in epoch milliseconds
   * @param bodyHash hash of the complete request; the same key with another hash is rejected
   * @param token unique token of the attempt
   */
  record ClaimRequest(
      String workspace, String key, long issuedAtMillis, ByteString bodyHash, String token) {}

  /** Result of a claim. */
  sealed interface Claim {
    /** This attempt owns the request and may run it. */
    record Granted() implements Claim {}

    /** Another attempt is running the request; {@code ownerHost} owns the claim. */
    record Running(String ownerHost, long ownerIncarnation) implements Claim {}

    /** The request was executed; {@code response} is its stored response. */
    record Done(StoredResponse response) implements Claim {}
  }
}
