package org.curranthaven.internal.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class BackendViewTest {
  private final BackendView view = new BackendView();

  static BackendAnnouncement engine(
      long incarnation, long sequence, BackendAnnouncement.State state) {
    return new BackendAnnouncement(
        "story-1",
        incarnation,
        sequence,
        "127.0.0.1:9000",
        "a",
        List.of("story"),
        "",
        "",
        100,
        60,
        1,
        0,
        8,
        true,
        BackendAnnouncement.Resume.OWN,
        true,
        state);
  }

  @Test
  void a_backend_server_is_usable_until_its_lease_expires() {
    view.update(engine(1, 1, BackendAnnouncement.State.READY), 0, 1_000);

    assertThat(view.usable("story-1", 3_999)).isNotNull();
    assertThat(view.usable("story-1", 4_000)).isNull();
  }

  @Test
  void the_age_of_an_announcement_shortens_the_lease() {
    view.update(engine(1, 1, BackendAnnouncement.State.READY), 2_500, 1_000);

    assertThat(view.usable("story-1", 1_499)).isNotNull();
    assertThat(view.usable("story-1", 1_500)).isNull();
  }

  @Test
  void a_leaving_backend_server_is_alive_but_not_usable() {
    view.update(engine(1, 1, BackendAnnouncement.State.READY), 0, 0);
    view.update(engine(1, 2, BackendAnnouncement.State.LEAVING), 0, 10);

    assertThat(view.usable("story-1", 20)).isNull();
    assertThat(view.alive("story-1", 20)).isNotNull();
  }

  @Test
  void a_delayed_announcement_does_not_make_a_leaving_backend_server_usable() {
    view.update(engine(1, 2, BackendAnnouncement.State.LEAVING), 0, 0);

    assertThat(view.update(engine(1, 1, BackendAnnouncement.State.READY), 0, 10)).isFalse();
    assertThat(view.usable("story-1", 20)).isNull();
  }

  @Test
  void a_delayed_announcement_does_not_restore_an_expired_backend_server() {
    view.update(engine(2, 5, BackendAnnouncement.State.READY), 0, 0);

    view.update(engine(1, 9, BackendAnnouncement.State.READY), 0, 10_000);

    assertThat(view.usable("story-1", 10_001)).isNull();
  }

  @Test
  void a_restarted_backend_server_is_usable_again() {
    view.update(engine(1, 9, BackendAnnouncement.State.LEAVING), 0, 0);

    view.update(engine(2, 1, BackendAnnouncement.State.READY), 0, 100);

    assertThat(view.usable("story-1", 200)).isNotNull();
  }
}
