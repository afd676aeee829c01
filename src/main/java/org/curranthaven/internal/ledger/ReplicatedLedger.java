package org.curranthaven.internal.ledger;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.function.LongSupplier;
import org.curranthaven.api.Failure;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.Ran;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.transport.ControlClient;
import org.curranthaven.internal.transport.wire.ClaimCommand;
import org.curranthaven.internal.transport.wire.ClaimResult;
import org.curranthaven.internal.transport.wire.CommandReply;
import org.curranthaven.internal.transport.wire.CommandStatus;
import org.curranthaven.internal.transport.wire.CompleteCommand;
import org.curranthaven.internal.transport.wire.LedgerCommand;
import org.curranthaven.internal.transport.wire.ReleaseCommand;
import org.curranthaven.internal.transport.wire.StoredResponse;

/** Ledger replicated by the consensus groups and sharded by workspace. Thread-safe. */
public final class ReplicatedLedger implements Ledger {
  private static final long CLAIM_TIMEOUT_MILLIS = 3_000;
  private static final long COMPLETE_OR_RELEASE_TIMEOUT_MILLIS = 10_000;

  private final ControlClient control;
  private final int ledgerGroups;
  private final String ownHost;
  private final long ownIncarnation;
  private final LongSupplier epochMillis;

  /**
   * Creates the ledger of a host.
   *
   * @param ledgerGroups number of ledger groups, which are numbered from 1
   * @param epochMillis wall clock, in epoch milliseconds
   */
  public ReplicatedLedger(
      ControlClient control,
      int ledgerGroups,
      String ownHost,
      long ownIncarnation,
      LongSupplier epochMillis) {
    this.control = control;
    this.ledgerGroups = ledgerGroups;
    this.ownHost = ownHost;
    this.ownIncarnation = ownIncarnation;
    this.epochMillis = epochMillis;
  }

  @Override
  public Outcome<Claim> claim(ClaimRequest request) throws InterruptedException {
    LedgerCommand.Builder command =
        LedgerCommand.newBuilder()
            .setClaim(
                ClaimCommand.newBuilder()
                    .setWorkspace(request.workspace())
                    .setKey(request.key())
                    .setIssuedAtMillis(request.issuedAtMillis())
                    .setBodyHash(request.bodyHash())
                    .setOwnerHost(ownHost)
                    .setOwnerIncarnation(ownIncarnation)
                    .setToken(request.token()));
    CommandReply reply = sendCommand(request, command, CLAIM_TIMEOUT_MILLIS);
    if (reply.getStatus() != CommandStatus.COMMAND_STATUS_APPLIED) {
      return Outcome.failed(claimFailure(reply.getStatus()));
    }
    return toOutcome(parseResult(reply));
  }

  private static Failure claimFailure(CommandStatus status) {
    boolean outcomeUnknown = status == CommandStatus.COMMAND_STATUS_UNKNOWN;
    return outcomeUnknown
        ? Failure.retryLater(
            ResultCode.CLAIM_UNKNOWN,
            "the claim of the Idempotency-Key was sent, but its outcome is unknown; retry with the"
                + " same key",
            1_000)
        : Failure.retryLater(
            ResultCode.LEDGER_UNAVAILABLE,
            "no leader of the ledger group replied; retry with the same Idempotency-Key",
            1_000);
  }

  private static Outcome<Claim> toOutcome(ClaimResult result) {
    return switch (result.getVerdict()) {
      case CLAIM_VERDICT_GRANTED -> Outcome.success(new Claim.Granted());
      case CLAIM_VERDICT_RUNNING ->
          Outcome.success(
              new Claim.Running(
                  result.getRecord().getOwnerHost(), result.getRecord().getOwnerIncarnation()));
      case CLAIM_VERDICT_DONE -> Outcome.success(new Claim.Done(result.getRecord().getAnswer()));
      case CLAIM_VERDICT_KEY_REUSED ->
          Outcome.failed(
              ResultCode.KEY_REUSED,
              "the Idempotency-Key was already used for a different request; use a new key for each"
                  + " request");
      case CLAIM_VERDICT_TOO_OLD ->
          Outcome.failed(
              new Failure(
                  ResultCode.KEY_TOO_OLD,
                  Ran.UNKNOWN,
                  "the Idempotency-Key is older than the retention period of "
                      + LedgerState.RETENTION_MILLIS
                      + " ms, so it is unknown whether an earlier attempt ran; check the effect of"
                      + " the request before sending it with a new key",
                  0));
      case CLAIM_VERDICT_FROM_FUTURE ->
          Outcome.failed(
              ResultCode.INVALID_PARAMETER,
              "the Idempotency-Key was issued more than "
                  + LedgerState.MAX_CLOCK_SKEW_MILLIS
                  + " ms in the future; check the clock of the caller");
      case CLAIM_VERDICT_FULL ->
          Outcome.failed(
              Failure.retryLater(
                  ResultCode.LEDGER_UNAVAILABLE,
                  "the ledger group is full ("
                      + LedgerState.MAX_RECORD_BYTES
                      + " bytes of records); retry after older records have expired",
                  10_000));
      case CLAIM_VERDICT_UNSPECIFIED, UNRECOGNIZED ->
          Outcome.failed(
              ResultCode.INTERNAL,
              "the ledger returned no verdict for the claim; check that all hosts run compatible"
                  + " versions");
    };
  }

  @Override
  public boolean complete(ClaimRequest request, StoredResponse response)
      throws InterruptedException {
    LedgerCommand.Builder command =
        LedgerCommand.newBuilder()
            .setComplete(
                CompleteCommand.newBuilder()
                    .setWorkspace(request.workspace())
                    .setKey(request.key())
                    .setToken(request.token())
                    .setAnswer(response));
    CommandReply reply = sendCommand(request, command, COMPLETE_OR_RELEASE_TIMEOUT_MILLIS);
    return reply.getStatus() == CommandStatus.COMMAND_STATUS_APPLIED;
  }

  @Override
  public void release(ClaimRequest request) throws InterruptedException {
    LedgerCommand.Builder command =
        LedgerCommand.newBuilder()
            .setRelease(
                ReleaseCommand.newBuilder()
                    .setWorkspace(request.workspace())
                    .setKey(request.key())
                    .setToken(request.token()));
    sendCommand(request, command, COMPLETE_OR_RELEASE_TIMEOUT_MILLIS);
  }

  private CommandReply sendCommand(
      ClaimRequest request, LedgerCommand.Builder command, long timeoutMillis)
      throws InterruptedException {
    int group = 1 + Math.floorMod(request.workspace().hashCode(), ledgerGroups);
    command.setNowMillis(epochMillis.getAsLong());
    return control.execute(group, command.build().toByteString(), timeoutMillis);
  }

  private static ClaimResult parseResult(CommandReply reply) {
    try {
      return ClaimResult.parseFrom(reply.getResult());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(
          "reply of the ledger cannot be parsed; check that all hosts run compatible versions", e);
    }
  }
}
