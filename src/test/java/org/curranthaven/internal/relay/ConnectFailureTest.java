package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ConnectTimeoutException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import org.junit.jupiter.api.Test;

/** Guards against a failure of this host that is taken for one of a backend server. */
class ConnectFailureTest {
  @Test
  void only_a_refusal_or_silence_shows_anything_about_the_other_host() {
    assertThat(ConnectFailure.of(new ConnectException("Connection refused")))
        .isEqualTo(ConnectFailure.REFUSED);
    assertThat(ConnectFailure.of(new ConnectTimeoutException()))
        .isEqualTo(ConnectFailure.UNREACHABLE);
    assertThat(ConnectFailure.of(new NoRouteToHostException()))
        .isEqualTo(ConnectFailure.UNREACHABLE);
    assertThat(ConnectFailure.of(new BindException("Cannot assign requested address")))
        .isEqualTo(ConnectFailure.LOCAL);
    assertThat(ConnectFailure.of(new SocketException("Too many open files")))
        .isEqualTo(ConnectFailure.LOCAL);
  }
}
