package org.curranthaven.internal.emulator;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.settings.Json;
import org.jspecify.annotations.Nullable;

/**
 * A deployment to emulate, read from JSON with comments.
 *
 * <pre>{@code
 * Outcome<Deployment> deployment = Deployment.read(Path.of("deploy/deployments/drive.jsonc"));
 * }</pre>
 *
 * @param name name for reports
 * @param gateways number of gateways; not used yet, since one scheduler places all requests
 * @param placementMillis time from the arrival of a request to its arrival at a backend server, if
 *     it is not queued
 * @param dataCentres names of the data centres; engines and callers are distributed evenly
 * @param noise slow phases of the machines; null for none. With it, backend servers state with
 *     their responses how slow their machines are
 * @param kinds kinds of requests
 * @param days days that can be played
 */
public record Deployment(
    String name,
    int gateways,
    long placementMillis,
    List<String> dataCentres,
    Engines engines,
    PlainServers plainServers,
    @Nullable MachineNoise noise,
    List<RequestKind> kinds,
    List<Day> days) {
  public Deployment {
    dataCentres = List.copyOf(dataCentres);
    kinds = List.copyOf(kinds);
    days = List.copyOf(days);
    requirePositive("gateways", gateways);
    if (dataCentres.isEmpty() || kinds.isEmpty() || days.isEmpty()) {
      throw new IllegalArgumentException(
          "dataCentres, kinds and days must not be empty; add at least one of each");
    }
  }

  /**
   * The model engines.
   *
   * @param slots largest number of requests in a batch
   * @param memoryTokens memory of an engine, in tokens
   * @param stepMicros duration of an empty step
   * @param stepMicrosPerRequest time added to a step for each request that it outputs a token of
   * @param promptTokensPerMilli prompt tokens that an engine processes per millisecond
   * @param promptTokensPerStep largest number of prompt tokens processed in one step
   * @param tokensPerEvent output tokens in one event of a stream
   * @param slowdowns factors on the durations, assigned to the engines in turn
   * @param transferMicrosPerToken time to transfer a token's state within a data centre
   */
  public record Engines(
      int count,
      int slots,
      int memoryTokens,
      long stepMicros,
      long stepMicrosPerRequest,
      double promptTokensPerMilli,
      int promptTokensPerStep,
      int tokensPerEvent,
      List<Double> slowdowns,
      double transferMicrosPerToken) {
    public Engines {
      slowdowns = List.copyOf(slowdowns);
      requirePositive("engines.count", count);
      requirePositive("engines.memoryTokens", memoryTokens);
      requirePositive("engines.tokensPerEvent", tokensPerEvent);
      if (slowdowns.isEmpty() || promptTokensPerMilli <= 0) {
        throw new IllegalArgumentException(
            "engines.slowdowns must not be empty and engines.promptTokensPerMilli must be above 0");
      }
    }

    /** Returns engines whose every step takes {@code factor} times as long. */
    Engines slowedBy(double factor) {
      return new Engines(
          count,
          slots,
          memoryTokens,
          stepMicros,
          stepMicrosPerRequest,
          promptTokensPerMilli,
          promptTokensPerStep,
          tokensPerEvent,
          slowdowns.stream().map(slowdown -> slowdown * factor).toList(),
          transferMicrosPerToken);
    }
  }

  /**
   * The backend servers of the plain service.
   *
   * @param workMillis mean duration of a request
   * @param workSpread standard deviation of the logarithm of the duration
   * @param failureShare share of the requests that fail after they ran
   * @param slowdowns factors on the durations, assigned to the servers in turn; absent if all take
   *     the same
   * @param kneeRequests number of requests at once beyond which each takes longer; 0 or absent for
   *     the number of slots
   * @param slowdownPerRequest growth of the duration with each request beyond the knee, as a share
   */
  public record PlainServers(
      int count,
      int slots,
      double workMillis,
      double workSpread,
      double failureShare,
      @Nullable List<Double> slowdowns,
      int kneeRequests,
      double slowdownPerRequest) {
    public PlainServers {
      requirePositive("plainServers.count", count);
      requirePositive("plainServers.slots", slots);
      slowdowns = slowdowns == null ? null : List.copyOf(slowdowns);
    }

    /** Returns the factor on the durations of the server with the given number. */
    double slowdownOf(int number) {
      return slowdowns == null || slowdowns.isEmpty()
          ? 1
          : slowdowns.get(number % slowdowns.size());
    }

    /** Returns the factor on the durations while a number of requests run. */
    double loadFactor(int requests) {
      int beyondKnee = kneeRequests == 0 ? 0 : Math.max(0, requests - kneeRequests);
      return 1 + slowdownPerRequest * beyondKnee;
    }
  }

  /**
   * Phases in which a machine is slow.
   *
   * @param share share of the time in such phases
   * @param phaseMillis duration of a phase
   * @param factor factor on the duration of work
   */
  public record MachineNoise(double share, long phaseMillis, double factor) {
    public MachineNoise {
      if (share < 0 || share > 1 || phaseMillis <= 0 || factor <= 0) {
        throw new IllegalArgumentException(
            "noise needs a share from 0 to 1, and phaseMillis and factor above 0");
      }
    }
  }

  /**
   * Random sizes with a mean and a limit.
   *
   * @param spread standard deviation of the logarithm
   */
  public record Size(double mean, double spread, double max) {
    public Size {
      if (mean <= 0 || max < 1) {
        throw new IllegalArgumentException("a size needs a mean above 0 and a max of at least 1");
      }
    }
  }

  /**
   * A kind of requests.
   *
   * @param engine whether the requests run on engines; else on the plain servers
   * @param perSecond mean arrivals per second
   * @param prompt prompt tokens; ignored by plain servers
   * @param output output tokens; ignored by plain servers
   * @param targetMillis time within which the first reply is due
   * @param gapTargetMillis longest pause between events of a stream that is in time; 0 for none
   * @param worth worth of a request in time; a larger generation is worth more
   * @param lateWorth worth of a late one
   * @param priority 0 is the most urgent
   * @param repeatable whether a request may run more than once
   * @param attempts largest number of backend servers that may run a request
   * @param retries times that a caller comes back after a rejection
   */
  public record RequestKind(
      String name,
      boolean engine,
      double perSecond,
      Size prompt,
      Size output,
      long targetMillis,
      long gapTargetMillis,
      long deadlineMillis,
      double worth,
      double lateWorth,
      int priority,
      boolean repeatable,
      int attempts,
      int retries) {}

  /**
   * A day with its faults.
   *
   * @param seconds time during which requests arrive
   * @param loadFactor factor on all arrival rates
   */
  public record Day(String name, int seconds, double loadFactor, List<Fault> faults) {
    public Day {
      faults = List.copyOf(faults);
      requirePositive("seconds", seconds);
    }
  }

  /** Returns the day with the given name. */
  public Day day(String dayName) {
    return days.stream()
        .filter(day -> day.name().equals(dayName))
        .findFirst()
        .orElseThrow(
            () ->
                new IllegalArgumentException(
                    "deployment "
                        + name
                        + " has no day '"
                        + dayName
                        + "'; it has "
                        + days.stream().map(Day::name).toList()));
  }

  /** Returns a copy with engines whose steps take {@code factor} times as long. */
  public Deployment withEnginesSlowedBy(double factor) {
    return new Deployment(
        name,
        gateways,
        placementMillis,
        dataCentres,
        engines.slowedBy(factor),
        plainServers,
        noise,
        kinds,
        days);
  }

  /** Reads a deployment file. */
  public static Outcome<Deployment> read(Path file) {
    try {
      return Outcome.success(Json.MAPPER.readValue(Files.readString(file), Deployment.class));
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
      return Outcome.failed(
          ResultCode.SETTINGS_INVALID,
          file + ", line " + line + ": " + e.getOriginalMessage() + "; correct this entry");
    } catch (IOException e) {
      return Outcome.failed(
          ResultCode.SETTINGS_INVALID,
          file + " cannot be read; name a readable file: " + e.getMessage());
    }
  }

  private static void requirePositive(String key, int value) {
    if (value <= 0) {
      throw new IllegalArgumentException(key + " is " + value + "; it must be above 0");
    }
  }
}
