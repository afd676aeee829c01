package org.curranthaven.internal.routing;

/**
 * Constants of the forecast policy and switches for its mechanisms.
 *
 * @param deviations standard deviations above the mean at which memory growth is forecast
 * @param memoryShare share of a server's memory that the forecast may reach
 * @param headroomMillis arrivals of tighter classes for which a looser class leaves memory free
 * @param sampledServers servers drawn at random from the admissible ones before the best is taken;
 *     0 means all
 * @param prefixBonusRequests running requests that a certain prefix hit is worth
 * @param prefixHalfLifeMillis age at which a cache event is trusted half as much
 * @param rampMillis time over which a server that has just become ready is filled
 * @param turnMillis length of the turns in which hosts, one after the other, may use a server that
 *     has no room for all of them to choose it at once; 0 lets every host choose at any time
 * @param shedding whether requests that cannot meet their target are given up early
 * @param oracle whether the core is told true lengths, for comparison only
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

  /** Returns the options in force. */
  public static ForecastOptions standard() {
    return new ForecastOptions(2.5, 0.95, 500, 3, 2, 20_000, 2_000, 150, true, false);
  }

  /** Returns the options of the oracle: exact lengths need no deviations. */
  public static ForecastOptions oracleOptions() {
    return new ForecastOptions(0, 0.97, 500, 3, 2, 20_000, 2_000, 150, true, true);
  }

  /** Returns the options with another {@code deviations}. */
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

  /** Returns the options with another {@code memoryShare}. */
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

  /** Returns the options with another {@code headroomMillis}. */
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

  /** Returns the options with another {@code sampledServers}. */
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

  /** Returns the options with another {@code prefixBonusRequests}. */
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

  /** Returns the options with another {@code shedding}. */
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

  /** Returns the options with another {@code turnMillis}. */
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
