package org.curranthaven.internal.dispatch;

import java.util.Locale;
import org.curranthaven.internal.transport.wire.LearntCapacity;
import org.jspecify.annotations.Nullable;

/**
 * Learnt performance of one backend server: its time for a unit of work by load, its time per
 * prompt token, how often it fails, and how slow its machine is at present. A unit of work is an
 * output token of an engine, or a request to a plain backend server. Not thread-safe.
 */
final class ServerCapacity {
  /**
   * Samples after which earlier ones have lost most weight. With fewer, equal servers get unequal
   * shares by chance; a change is followed sooner, see {@link ChangeDetector}.
   */
  private static final int RETAINED_SAMPLES = 400;

  /** Samples that the figures from before a change count as afterwards. */
  private static final double SAMPLES_AFTER_CHANGE = 8;

  /**
   * Share of the slots up to which load is light. Changes under light and heavy load are noticed
   * apart: a server that newly slows down under load is as fast as before when lightly loaded.
   */
  private static final double LIGHT_LOAD_SHARE = 1.0 / 3;

  /** Weight of the samples from which on the figures of a server are its own. */
  private static final double LEARNT_WEIGHT = 10;

  private static final double LATEST_PROMPT_WEIGHT = 0.1;
  private static final double LATEST_FAILURE_WEIGHT = 0.05;

  /** Samples that restored figures count as. */
  private static final double RESTORED_SAMPLES = 30;

  /** Time for which a fitted curve is used before samples since then change it. */
  private static final long REFIT_MILLIS = 50;

  private static final double MICROS_PER_MILLI = 1_000;
  private static final double NANOS_PER_MILLI = 1_000_000;
  private static final double PERCENT = 100;
  private static final double PERMILLE = 1_000;

  private final String id;
  private final ServiceCapacity service;
  private final int slots;
  private final PresentSlowness slowness = new PresentSlowness();
  private final LoadCurveSamples samples;
  private final ChangeDetector lightChanges = new ChangeDetector();
  private final ChangeDetector heavyChanges = new ChangeDetector();
  private @Nullable LearntAverage promptMillis;
  private long learntAtMillis;
  private double failureShare;
  private long outcomeAtMillis;
  private LoadCurve curve;
  private long fittedAtMillis;

  ServerCapacity(String id, ServiceCapacity service, int slots, long nowMillis) {
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.samples = new LoadCurveSamples(RETAINED_SAMPLES, service::retentionMillis);
    this.learntAtMillis = nowMillis;
    this.outcomeAtMillis = nowMillis;
    this.failureShare = service.failureShare();
    this.curve = service.curve(slots, nowMillis);
    this.fittedAtMillis = nowMillis;
  }

  String id() {
    return id;
  }

  ServiceCapacity service() {
    return service;
  }

  PresentSlowness slowness() {
    return slowness;
  }

  // ---- learning ---------------------------------------------------------------------------------

  /**
   * Records the time of a unit of work, as it would be on a machine that is as fast as usual.
   *
   * @param requests number of requests that ran, including the observed one
   */
  void recordWork(int requests, double millis, long nowMillis) {
    LoadCurve known = curve(nowMillis);
    int lightRequests = Math.max(1, (int) (slots * LIGHT_LOAD_SHARE));
    double ratio = millis / known.millisAt(requests);
    if (requests <= lightRequests && lightChanges.record(ratio)) {
      samples.limitWeight(1, lightRequests, SAMPLES_AFTER_CHANGE);
    } else if (requests > lightRequests && heavyChanges.record(ratio)) {
      samples.limitWeight(lightRequests + 1, Integer.MAX_VALUE, SAMPLES_AFTER_CHANGE);
    }
    samples.record(requests, millis, known, nowMillis);
    service.recordWork(requests, millis, slots, nowMillis);
    learntAtMillis = nowMillis;
  }

  /** Records the time per prompt token on a machine that is as fast as usual. */
  void recordPrompt(double millisPerToken, long nowMillis) {
    LearntAverage average = promptMillis;
    if (average == null) {
      average = new LearntAverage(service.promptMillis(), LATEST_PROMPT_WEIGHT);
      promptMillis = average;
    }
    average.record(millisPerToken);
    service.recordPrompt(millisPerToken);
    learntAtMillis = nowMillis;
  }

  /** Records whether a request failed; a failure says nothing about the time that work takes. */
  void recordOutcome(boolean failed, long nowMillis) {
    double latest = failed ? 1 : 0;
    double before = failureShare(nowMillis);
    failureShare = before + LATEST_FAILURE_WEIGHT * (latest - before);
    outcomeAtMillis = nowMillis;
    service.recordOutcome(latest);
  }

  // ---- figures ----------------------------------------------------------------------------------

  /** Returns the time for a unit of work by the number of requests, without present slowness. */
  LoadCurve curve(long nowMillis) {
    if (nowMillis - fittedAtMillis >= REFIT_MILLIS) {
      curve = samples.fit(service.curve(slots, nowMillis), slots, nowMillis);
      fittedAtMillis = nowMillis;
    }
    return curve;
  }

  /** Returns the time of a unit of work as a multiple of the service's average at that load. */
  double relativeMillisAt(double requests, long nowMillis) {
    double averageMillis = service.curve(slots, nowMillis).millisAt(requests);
    return curve(nowMillis).millisAt(requests) / averageMillis;
  }

  /** Returns the time per prompt token, without present slowness. */
  double promptMillis(long nowMillis) {
    double average = service.promptMillis();
    LearntAverage own = promptMillis;
    return own == null
        ? average
        : average + (own.value() - average) * retained(learntAtMillis, nowMillis);
  }

  /** Returns the share of the requests that fail. */
  double failureShare(long nowMillis) {
    double average = service.failureShare();
    return average + (failureShare - average) * retained(outcomeAtMillis, nowMillis);
  }

  /** Returns how well the figures are known, from 0 for not at all to 1. */
  double certainty(long nowMillis) {
    return Math.min(1, samples.weight(nowMillis) / LEARNT_WEIGHT);
  }

  /** Returns the number of requests beyond which throughput no longer grows. */
  int usefulRequests(long nowMillis) {
    return curve(nowMillis).usefulRequests(slots);
  }

  /** Returns the time since the figures were last learnt from. */
  long ageMillis(long nowMillis) {
    return nowMillis - learntAtMillis;
  }

  private double retained(long sinceMillis, long nowMillis) {
    return StrictMath.exp(-Math.max(0, nowMillis - sinceMillis) / service.retentionMillis());
  }

  /** Returns the figures and their age, for logs and dumps. */
  String describe(long nowMillis) {
    LoadCurve present = curve(nowMillis);
    return String.format(
        Locale.ROOT,
        "backend server %s: %.2f ms for each %s with up to %d requests, %.0f%% longer with each"
            + " further one, %.0f%% of requests fail; learnt %d ms ago; machine now slower by a"
            + " factor of %.2f",
        id,
        present.lightMillis(),
        promptMillis == null ? "request" : "output token",
        present.kneeRequests(),
        PERCENT * present.slowdown(),
        PERCENT * failureShare(nowMillis),
        ageMillis(nowMillis),
        slowness.factor(nowMillis));
  }

  // ---- exchange between hosts -------------------------------------------------------------------

  LearntCapacity export(long nowMillis) {
    LoadCurve present = curve(nowMillis);
    boolean learnt = certainty(nowMillis) >= 1;
    return LearntCapacity.newBuilder()
        .setBackend(id)
        .setLightMicros(learnt ? (int) Math.ceil(present.lightMillis() * MICROS_PER_MILLI) : 0)
        .setKneeRequests(learnt ? present.kneeRequests() : 0)
        .setSlowdownPermille(learnt ? (int) Math.round(present.slowdown() * PERMILLE) : 0)
        .setPromptNanos(
            promptMillis == null ? 0 : (int) Math.ceil(promptMillis(nowMillis) * NANOS_PER_MILLI))
        .setAgeMillis((int) Math.clamp(ageMillis(nowMillis), 0L, Integer.MAX_VALUE))
        .build();
  }

  /**
   * Takes over what another host learnt, unless more recent figures are known here; returns whether
   * it did.
   */
  boolean merge(LearntCapacity learnt, long nowMillis) {
    long learntElsewhereMillis = nowMillis - learnt.getAgeMillis();
    boolean known = certainty(nowMillis) > 0 || promptMillis != null;
    if (known && learntElsewhereMillis <= learntAtMillis) {
      return false;
    }
    learntAtMillis = learntElsewhereMillis;
    restore(learnt, nowMillis);
    return true;
  }

  /** Takes over figures as if they had just been learnt: a noticeable change would be known. */
  void restore(LearntCapacity learnt, long nowMillis) {
    if (learnt.getPromptNanos() > 0) {
      double millisPerToken = learnt.getPromptNanos() / NANOS_PER_MILLI;
      promptMillis = new LearntAverage(millisPerToken, LATEST_PROMPT_WEIGHT);
      service.recordPrompt(millisPerToken);
    }
    if (learnt.getLightMicros() > 0) {
      LoadCurve elsewhere =
          new LoadCurve(
              learnt.getLightMicros() / MICROS_PER_MILLI,
              Math.max(1, learnt.getKneeRequests()),
              learnt.getSlowdownPermille() / PERMILLE);
      samples.restore(elsewhere, slots, RESTORED_SAMPLES, nowMillis);
      service.recordWork(1, elsewhere.lightMillis(), slots, nowMillis);
      curve = samples.fit(service.curve(slots, nowMillis), slots, nowMillis);
      fittedAtMillis = nowMillis;
    }
  }
}
