package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.curranthaven.internal.clients.HostLimits;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bounds that together exceed the heap of a gateway, or its machine. */
class GatewayMemoryTest {
  private static final long MEGABYTE = 1024 * 1024;

  /** Deployed heap; direct buffers may take as much, which is the default of the runtime. */
  private static final long HEAP_BYTES = 96 * MEGABYTE;

  /** Memory of the smallest deployed machine. */
  private static final long MACHINE_BYTES = 258 * MEGABYTE;

  /** Code, classes and stacks. */
  private static final long NATIVE_BYTES = 60 * MEGABYTE;

  /** Catalog, backend servers, scheduler and the runtime's own objects. */
  private static final long STATE_BYTES = 12 * MEGABYTE;

  /** Handlers and channel of a connection. */
  private static final long CONNECTION_BYTES = 6 * 1024;

  @ParameterizedTest
  @ValueSource(ints = {512, 2_212, 4_100, 10_250})
  void all_that_clients_and_servers_can_make_a_gateway_hold_fits_its_heap(int descriptors) {
    BodyMemory bodies = BodyMemory.of(0, HEAP_BYTES);
    long connectionBytes = HostLimits.gateway(descriptors).callers() * CONNECTION_BYTES;

    long allBytes =
        bodies.maxBytes() + ResponseBuffers.MAX_TOTAL_BYTES + connectionBytes + STATE_BYTES;

    assertThat(allBytes).isLessThan(HEAP_BYTES);
    assertThat(2 * HEAP_BYTES + NATIVE_BYTES).isLessThan(MACHINE_BYTES);
  }

  @ParameterizedTest
  @ValueSource(longs = {64, 96, 128})
  void what_clients_hold_leaves_room_for_large_requests(long heapMegabytes) {
    BodyMemory bodies = BodyMemory.of(0, heapMegabytes * MEGABYTE);
    long leftBytes = (long) (bodies.maxBytes() * (1 - Gateway.CLIENT_MEMORY_PART));

    assertThat(bodies.canEverHold(BodyMemory.Use.REQUEST, (int) leftBytes)).isTrue();
  }
}
