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
import org.curranthaven.internal.transport.wire.StoredAnswer;

/** Ledger on the replicated groups, sharded by workspace. Thread-safe. */
public final class ReplicatedLedger implements Ledger {
  private static final long CALL_MILLIS = 3_000;
  private static final long COMPLETE_MILLIS = 10_000;

  private final ControlClient control;
  private final int ledgerGroups;
  private final String ownHost;
  private final long ownIncarnation;
  private final LongSupplier epochMillis;

  /**
   * Creates the ledger of a host.
   *
   * @param ledgerGroups number of ledger groups; they are numbered from 1
   * @param epochMillis wall clock
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
    CommandReply reply = call(request, command, CALL_MILLIS);
    if (reply.getStatus() != CommandStatus.COMMAND_STATUS_APPLIED) {
      return Outcome.failed(unavailable(reply.getStatus()));
    }
    return verdict(parse(reply));
  }

  private static Failure unavailable(CommandStatus status) {
    boolean mayBeTaken = status == CommandStatus.COMMAND_STATUS_UNKNOWN;
    return mayBeTaken
        ? Failure.retryLater(
            ResultCode.CLAIM_UNKNOWN, "the claim was sent and its answer was lost", 1_000)
        : Failure.retryLater(
            ResultCode.LEDGER_UNAVAILABLE, "no leader of the ledger group answered", 1_000);
  }

  private static Outcome<Claim> verdict(ClaimResult result) {
    return switch (result.getVerdict()) {
      case CLAIM_VERDICT_GRANTED -> Outcome.success(new Claim.Granted());
      case CLAIM_VERDICT_RUNNING ->
          Outcome.success(
              new Claim.Running(
                  result.getRecord().getOwnerHost(), result.getRecord().getOwnerIncarnation()));
      case CLAIM_VERDICT_DONE -> Outcome.success(new Claim.Done(result.getRecord().getAnswer()));
      case CLAIM_VERDICT_KEY_REUSED ->
          Outcome.failed(
              ResultCode.KEY_REUSED, "the Idempotency-Key belongs to a request with another body");
      case CLAIM_VERDICT_TOO_OLD ->
          Outcome.failed(
              new Failure(
                  ResultCode.KEY_TOO_OLD,
                  Ran.UNKNOWN,
                  "the Idempotency-Key is older than outcomes are kept, so that an earlier"
                      + " attempt cannot be told",
                  0));
      case CLAIM_VERDICT_FROM_FUTURE ->
          Outcome.failed(
              ResultCode.INVALID_PARAMETER, "the Idempotency-Key was issued in the future");
      case CLAIM_VERDICT_FULL ->
          Outcome.failed(
              Failure.retryLater(
                  ResultCode.LEDGER_UNAVAILABLE, "the ledger group holds all it may", 10_000));
      case CLAIM_VERDICT_UNSPECIFIED, UNRECOGNIZED ->
          Outcome.failed(ResultCode.INTERNAL, "the ledger gave no verdict");
    };
  }

  @Override
  public boolean complete(ClaimRequest request, StoredAnswer answer) throws InterruptedException {
    LedgerCommand.Builder command =
        LedgerCommand.newBuilder()
            .setComplete(
                CompleteCommand.newBuilder()
                    .setWorkspace(request.workspace())
                    .setKey(request.key())
                    .setToken(request.token())
                    .setAnswer(answer));
    CommandReply reply = call(request, command, COMPLETE_MILLIS);
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
    call(request, command, COMPLETE_MILLIS);
  }

  private CommandReply call(ClaimRequest request, LedgerCommand.Builder command, long timeoutMillis)
      throws InterruptedException {
    int group = 1 + Math.floorMod(request.workspace().hashCode(), ledgerGroups);
    command.setNowMillis(epochMillis.getAsLong());
    return control.execute(group, command.build().toByteString(), timeoutMillis);
  }

  private static ClaimResult parse(CommandReply reply) {
    try {
      return ClaimResult.parseFrom(reply.getResult());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("the ledger's answer cannot be parsed", e);
    }
  }
}
