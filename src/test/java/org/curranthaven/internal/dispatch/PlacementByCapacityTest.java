package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.curranthaven.internal.dispatch.PlainServerSimulation.Kind;
import org.curranthaven.internal.dispatch.PlainServerSimulation.Profile;
import org.curranthaven.internal.dispatch.PlainServerSimulation.Server;
import org.curranthaven.internal.dispatch.PlainServerSimulation.Setting;
import org.curranthaven.internal.dispatch.PlainServerSimulation.Window;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against servers of a service that get more work than they take well, or less, because
 * their speed, their knee, a slow phase of their machine, the length of their requests or their
 * failures are mistaken for each other. Each case is compared with an oracle that knows the
 * servers.
 */
class PlacementByCapacityTest {
  private static final long CHANGE_MILLIS = 10_000;

  /** Time after a change within which the work is distributed well again. */
  private static final long ADAPTATION_MILLIS = 3_000;

  private static final long END_MILLIS = 40_000;
  private static final int SERVERS = 5;
  private static final int SLOTS = 6;
  private static final String CHANGED = "s0";
  private static final double MAX_P99_FACTOR = 1.25;
  private static final double MAX_SHARE_DEVIATION = 0.2;
  private static final double MAX_PROBE_SHARE = 0.01;
  private static final Profile FAST = Profile.ofSpeed(1.2);
  private static final Profile SLOW = Profile.ofSpeed(0.55);

  /** One case, played under the dispatch core and under the oracle. */
  private static final class Play {
    final PlainServerSimulation simulation;
    final PlainServerSimulation oracle;
    final CapacityPolicies.Core core;

    Play(List<Server> servers, List<Kind> kinds, long seed) {
      Setting setting = new Setting(servers, kinds, CHANGE_MILLIS, END_MILLIS, seed);
      List<CapacityPolicies.Core> cores = new ArrayList<>();
      simulation =
          new PlainServerSimulation(
                  setting,
                  created -> {
                    cores.add(new CapacityPolicies.Core(created, Set.of()));
                    return cores.getFirst();
                  })
              .run();
      core = cores.getFirst();
      oracle = new PlainServerSimulation(setting, CapacityPolicies.Oracle::new).run();
    }

    Window adapted() {
      return simulation.window(CHANGE_MILLIS + ADAPTATION_MILLIS, END_MILLIS);
    }

    Window best() {
      return oracle.window(CHANGE_MILLIS + ADAPTATION_MILLIS, END_MILLIS);
    }

    /** A share of almost nothing may deviate by a fifth of an equal share. */
    void assertSharesNearBest() {
      for (String server : simulation.serverIds()) {
        double best = best().shareOf(server);
        double allowed = MAX_SHARE_DEVIATION * Math.max(best, 1.0 / SERVERS);
        assertThat(adapted().shareOf(server)).as(server).isCloseTo(best, within(allowed));
      }
    }

    void assertTimesNearBest() {
      assertThat(adapted().p99Millis()).isLessThanOrEqualTo(MAX_P99_FACTOR * best().p99Millis());
      assertThat(core.rejected()).isZero();
    }
  }

  private static List<Server> servers(Profile firstBefore, Profile firstAfter, Profile others) {
    return servers(firstBefore, firstAfter, others, others);
  }

  private static List<Server> servers(
      Profile firstBefore, Profile firstAfter, Profile othersBefore, Profile othersAfter) {
    List<Server> servers = new ArrayList<>();
    servers.add(new Server(CHANGED, SLOTS, firstBefore, firstAfter));
    for (int i = 1; i < SERVERS; i++) {
      servers.add(new Server("s" + i, SLOTS, othersBefore, othersAfter));
    }
    return servers;
  }

  private static List<Kind> requests(double perSecond) {
    return List.of(new Kind("requests", perSecond, 1, ""));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void a_server_that_becomes_slow_gets_no_more_work_than_it_should(long seed) {
    Play play = new Play(servers(FAST, SLOW, FAST), requests(300), seed);

    play.assertSharesNearBest();
    play.assertTimesNearBest();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void a_server_that_becomes_fast_gets_its_share(long seed) {
    Play play = new Play(servers(SLOW, FAST, FAST), requests(300), seed);

    play.assertSharesNearBest();
    play.assertTimesNearBest();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void a_server_that_slows_down_at_a_third_of_its_slots_is_loaded_up_to_there(long seed) {
    Play play = new Play(servers(FAST, FAST.withKnee(2, 0.5), FAST), requests(380), seed);

    play.assertSharesNearBest();
    play.assertTimesNearBest();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void phases_in_which_machines_are_slow_are_avoided_while_they_last(long seed) {
    Profile noisy = FAST.withNoise();
    Play play = new Play(servers(FAST, noisy, FAST, noisy), requests(300), seed);

    play.assertSharesNearBest();
    play.assertTimesNearBest();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void a_slow_server_among_servers_with_slow_phases_is_told_from_them(long seed) {
    Profile noisy = FAST.withNoise();
    Play play = new Play(servers(noisy, SLOW.withNoise(), noisy), requests(300), seed);

    play.assertSharesNearBest();
    play.assertTimesNearBest();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void a_server_whose_requests_are_longer_does_not_count_as_slow(long seed) {
    List<Kind> kinds = List.of(new Kind("requests", 200, 1, ""), new Kind("long", 15, 4, CHANGED));
    Play play = new Play(servers(FAST, FAST, FAST), kinds, seed);

    double ofServer = play.core.curveOf(CHANGED, END_MILLIS).lightMillis();
    double ofOther = play.core.curveOf("s1", END_MILLIS).lightMillis();
    assertThat(ofServer / ofOther).isBetween(0.8, 1.2);
    play.assertSharesNearBest();
    play.assertTimesNearBest();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void a_server_that_fails_fast_is_not_rated_as_good(long seed) {
    Play play = new Play(servers(FAST, FAST.failingAtOnce(), FAST), requests(300), seed);

    assertThat(play.adapted().shareOf(CHANGED)).isLessThan(MAX_PROBE_SHARE);
    play.assertSharesNearBest();
    play.assertTimesNearBest();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void servers_that_all_become_equally_slow_share_equally(long seed) {
    Play play = new Play(servers(FAST, SLOW, FAST, SLOW), requests(180), seed);

    play.assertSharesNearBest();
    play.assertTimesNearBest();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void probes_of_a_slow_server_are_rare(long seed) {
    Play play = new Play(servers(FAST, SLOW, FAST), requests(200), seed);

    assertThat(play.adapted().shareOf(CHANGED)).isLessThan(MAX_PROBE_SHARE);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void shares_are_steady_while_nothing_changes(long seed) {
    Play play = new Play(servers(FAST, FAST, FAST), requests(300), seed);

    for (String server : play.simulation.serverIds()) {
      double mean = play.adapted().shareOf(server);
      for (long from = CHANGE_MILLIS; from < END_MILLIS; from += ADAPTATION_MILLIS) {
        assertThat(play.simulation.window(from, from + ADAPTATION_MILLIS).shareOf(server))
            .as("%s from %d ms on", server, from)
            .isCloseTo(mean, within(MAX_SHARE_DEVIATION * mean));
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void without_stated_slowness_decisions_are_as_before(long seed) {
    Setting setting =
        new Setting(
            servers(FAST, SLOW, FAST), requests(300), CHANGE_MILLIS, 2 * CHANGE_MILLIS, seed);

    PlainServerSimulation notStated =
        new PlainServerSimulation(
                setting, created -> new CapacityPolicies.Core(created, Set.of(), false))
            .run();
    PlainServerSimulation switchedOff =
        new PlainServerSimulation(
                setting,
                created ->
                    new CapacityPolicies.Core(created, Set.of(Mechanism.SERVER_CAPACITY), true))
            .run();

    assertThat(notStated.window(0, END_MILLIS).servers())
        .isEqualTo(switchedOff.window(0, END_MILLIS).servers());
  }
}
