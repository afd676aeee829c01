package org.curranthaven.internal.routing;

/**
 * Parameters of the forecast policy and switches for its mechanisms.
 *
 * @param deviations number of standard deviations above the mean at which memory use is forecast
 * @param memoryShare largest share of a backend server's memory that the forecast may reach
 * @param headroomMillis time span whose expected arrivals of classes with shorter targets a class
 *     leaves memory free for
 * @param sampledServers number of backend servers sampled at random from the admissible ones, of
 *     which the best is chosen; 0 means all
 * @param prefixBonusRequests number of running requests that a certain prefix cache hit outweighs
 * @param prefixHalfLifeMillis half-life of the confidence in a prefix cache event
 * @param rampMillis slow-start time over which a newly ready backend server is filled
 * @param turnMillis length of the time slots in which one host after the other may use a backend
 *     server that lacks the capacity for one request from each of them; 0 lets every host choose it
 *     at any time
 * @param shedding whether requests that can no longer meet their target are shed early
 * @param oracle whether the core uses the actual output lengths, for comparison only
 */
public record ForecastOptions(
    double deviations,
    double memoryShare,
    long headroomMillis,
    int sampledServers,
    double prefixBonusRequests,
    double prefixHalfLifeMillis,
    long rampMillis,
    long turnMillis,
    boolean shedding,
    boolean oracle) {

  /** Returns the options that hosts use. */
  public static ForecastOptions standard() {
    return new ForecastOptions(2.5, 0.95, 500, 3, 2, 20_000, 2_000, 150, true, false);
  }

  /** Returns the options of the oracle policy: exact lengths need no safety margin. */
  public static ForecastOptions oracleOptions() {
    return new ForecastOptions(0, 0.97, 500, 3, 2, 20_000, 2_000, 150, true, true);
  }

  /** Returns a copy with another {@code deviations}. */
  public ForecastOptions withDeviations(double value) {
    return new ForecastOptions(
        value,
        memoryShare,
        headroomMillis,
        sampledServers,
        prefixBonusRequests,
        prefixHalfLifeMillis,
        rampMillis,
        turnMillis,
        shedding,
        oracle);
  }

  /** Returns a copy with another {@code memoryShare}. */
  public ForecastOptions withMemoryShare(double value) {
    return new ForecastOptions(
        deviations,
        value,
        headroomMillis,
        sampledServers,
        prefixBonusRequests,
        prefixHalfLifeMillis,
        rampMillis,
        turnMillis,
        shedding,
        oracle);
  }

  /** Returns a copy with another {@code headroomMillis}. */
  public ForecastOptions withHeadroomMillis(long value) {
    return new ForecastOptions(
        deviations,
        memoryShare,
        value,
        sampledServers,
        prefixBonusRequests,
        prefixHalfLifeMillis,
        rampMillis,
        turnMillis,
        shedding,
        oracle);
  }

  /** Returns a copy with another {@code sampledServers}. */
  public ForecastOptions withSampledServers(int value) {
    return new ForecastOptions(
        deviations,
        memoryShare,
        headroomMillis,
        value,
        prefixBonusRequests,
        prefixHalfLifeMillis,
        rampMillis,
        turnMillis,
        shedding,
        oracle);
  }

  /** Returns a copy with another {@code prefixBonusRequests}. */
  public ForecastOptions withPrefixBonus(double value) {
    return new ForecastOptions(
        deviations,
        memoryShare,
        headroomMillis,
        sampledServers,
        value,
        prefixHalfLifeMillis,
        rampMillis,
        turnMillis,
        shedding,
        oracle);
  }

  /** Returns a copy with another {@code shedding}. */
  public ForecastOptions withShedding(boolean value) {
    return new ForecastOptions(
        deviations,
        memoryShare,
        headroomMillis,
        sampledServers,
        prefixBonusRequests,
        prefixHalfLifeMillis,
        rampMillis,
        turnMillis,
        value,
        oracle);
  }

  /** Returns a copy with another {@code turnMillis}. */
  public ForecastOptions withTurnMillis(long value) {
    return new ForecastOptions(
        deviations,
        memoryShare,
        headroomMillis,
        sampledServers,
        prefixBonusRequests,
        prefixHalfLifeMillis,
        rampMillis,
        value,
        shedding,
        oracle);
  }
}
