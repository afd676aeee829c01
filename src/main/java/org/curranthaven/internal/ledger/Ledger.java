package org.curranthaven.internal.ledger;

import com.google.protobuf.ByteString;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.transport.wire.StoredAnswer;

/** Claims of requests that may not be repeated. Callers block; thread-safe. */
public interface Ledger {
  /**
   * Claims a request before the first byte of it may leave.
   *
   * @return what the caller of the request is to get; a failure means that the claim is not known
   *     to be this attempt's, and that this attempt must not run
   */
  Outcome<Claim> claim(ClaimRequest request) throws InterruptedException;

  /** Stores the answer of a request that was claimed; returns whether it is known to be stored. */
  boolean complete(ClaimRequest request, StoredAnswer answer) throws InterruptedException;

  /** Gives a claim back, for a request that is known not to have run. */
  void release(ClaimRequest request) throws InterruptedException;

  /**
   * A request to claim.
   *
   * @param workspace workspace that asks
   * @param key idempotency key
   * @param issuedAtMillis when the key was issued, in epoch milliseconds
   * @param bodyHash hash of all that makes up the request
   * @param token identifies the attempt
   */
  record ClaimRequest(
      String workspace, String key, long issuedAtMillis, ByteString bodyHash, String token) {}

  /** What a claim found. */
  sealed interface Claim {
    /** This attempt owns the request and may run it. */
    record Granted() implements Claim {}

    /** Another attempt runs it; {@code ownerHost} holds the claim. */
    record Running(String ownerHost, long ownerIncarnation) implements Claim {}

    /** It ran; {@code answer} is its kept answer. */
    record Done(StoredAnswer response) implements Claim {}
  }
}
