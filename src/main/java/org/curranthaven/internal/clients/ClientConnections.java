package org.curranthaven.internal.clients;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Decides which connections of clients a host keeps. Beyond the connections of an address, the one
 * that has done least for longest is closed; beyond the memory, the one that holds most. A request
 * in progress is never given up for others. Confined to the event loop; takes the present time as
 * an argument.
 *
 * <pre>{@code
 * ClientConnections.Account account = connections.open(Door.CALLERS, client, now);
 * account.hold(HeadCost.bytes(headBytes, lines));
 * account.admit(now);
 * account.close();
 * }</pre>
 */
public final class ClientConnections {
  /** Cost up to which a request is an ordinary one, which room is always left for. */
  static final long ORDINARY_BYTES = 16 * 1024;

  /** Part of the memory that costly requests in progress may take. */
  private static final double COSTLY_PART = 0.25;

  /** Time without a byte after which a large body yields its memory to one that waits. */
  private static final long STALLED_MILLIS = 3_000;

  private static final Comparator<Account> LEAST_DONE =
      Comparator.<Account, Standing>comparing(account -> account.standing)
          .thenComparingLong(account -> account.sinceMillis);

  private final Map<Door, Integer> maxConnections;
  private final long maxBytes;
  private final MemoryAccount memory;
  private final Map<Door, Set<Account>> accounts = new EnumMap<>(Door.class);
  private long heldBytes;
  private long costlyBytes;
  private long closedForOthers;

  /**
   * Creates an empty set of connections.
   *
   * @param maxConnections most connections at each address; an address without a bound has none
   * @param maxBytes bound on what all clients hold
   * @param memory also counts it, perhaps together with other uses
   */
  public ClientConnections(Map<Door, Integer> maxConnections, long maxBytes, MemoryAccount memory) {
    this.maxConnections = Map.copyOf(maxConnections);
    this.maxBytes = maxBytes;
    this.memory = memory;
  }

  /** Returns connections with a memory of their own. */
  public static ClientConnections of(Map<Door, Integer> maxConnections, long maxBytes) {
    return new ClientConnections(maxConnections, maxBytes, MemoryAccount.of(maxBytes));
  }

  /** Returns the number of open connections at an address. */
  public int count(Door door) {
    return accountsAt(door).size();
  }

  /** Returns the bytes that all clients hold. */
  public long heldBytes() {
    return heldBytes;
  }

  /** Returns the number of connections that were closed for others. */
  public long closedForOthers() {
    return closedForOthers;
  }

  /** Adds a new connection; it is closed at once if all others have done more. */
  public Account open(Door door, Client client, long nowMillis) {
    Account account = new Account(door, client, nowMillis);
    Set<Account> others = accountsAt(door);
    others.add(account);
    if (others.size() > maxConnections.getOrDefault(door, Integer.MAX_VALUE)) {
      // The others first: one that is new has had no time to send anything.
      Account least =
          others.stream()
              .filter(other -> other != account && other.standing != Standing.IN_PROGRESS)
              .min(LEAST_DONE)
              .orElse(account);
      closeForOthers(least, CloseReason.TOO_MANY_CONNECTIONS);
    }
    return account;
  }

  private Set<Account> accountsAt(Door door) {
    return accounts.computeIfAbsent(door, unused -> new HashSet<>());
  }

  private void closeForOthers(Account account, CloseReason reason) {
    closedForOthers++;
    account.close();
    account.client.close(reason);
  }

  /** Closes the large body that sends nothing and holds most, since another one waits. */
  public void closeStalled(long nowMillis) {
    accounts.values().stream()
        .flatMap(Set::stream)
        .filter(account -> account.reservedBytes > 0 && account.standing == Standing.SENDING_BODY)
        .filter(account -> account.read && nowMillis - account.receivedAtMillis >= STALLED_MILLIS)
        .max(Comparator.comparingLong(account -> account.reservedBytes))
        .ifPresent(account -> closeForOthers(account, CloseReason.STALLED));
  }

  /** What one connection holds. */
  public final class Account {
    private final Door door;
    private final Client client;
    private Standing standing = Standing.UNPROVEN;
    private long sinceMillis;
    private long receivedAtMillis;
    private long bytes;
    private long reservedBytes;
    private long costlyInProgressBytes;
    private boolean read = true;
    private boolean closed;

    private Account(Door door, Client client, long nowMillis) {
      this.door = door;
      this.client = client;
      this.sinceMillis = nowMillis;
      this.receivedAtMillis = nowMillis;
    }

    /** Records that bytes were received. */
    public void received(long nowMillis) {
      receivedAtMillis = nowMillis;
    }

    /** Records the memory that a large body has elsewhere from now on. */
    public void reserved(long largeBodyBytes, long nowMillis) {
      reservedBytes = largeBodyBytes;
      receivedAtMillis = nowMillis;
    }

    /** Records whether the host reads the connection; one that it does not read cannot stall. */
    public void read(boolean nowRead, long nowMillis) {
      read = nowRead;
      receivedAtMillis = nowMillis;
    }

    /** Records that the head of a request is complete, and its body is not. */
    public void headComplete(long nowMillis) {
      change(Standing.SENDING_BODY, nowMillis);
    }

    /** Records that the client was refused, so that nothing more of it is of use. */
    public void refused(long nowMillis) {
      change(Standing.REFUSED, nowMillis);
    }

    /** Records that the response was sent, or that the client is a known host. */
    public void idle(long nowMillis) {
      endProgress();
      change(Standing.IDLE, nowMillis);
    }

    private void change(Standing newStanding, long nowMillis) {
      standing = newStanding;
      sinceMillis = nowMillis;
      reservedBytes = 0;
    }

    /**
     * Sets the bytes that this connection holds. Others that hold more, and have no request in
     * progress, are closed where the bound is exceeded.
     *
     * @return whether the connection may hold so much; it holds what it did if not
     */
    public boolean hold(long newBytes) {
      if (closed) {
        return false;
      }
      long addedBytes = newBytes - bytes;
      boolean withinBound = add(addedBytes) || addedBytes <= 0;
      while (!withinBound) {
        Account largest = largestOther();
        if (largest == null) {
          add(-addedBytes);
          return false;
        }
        closeForOthers(largest, CloseReason.MEMORY_IN_USE);
        withinBound = add(0);
      }
      return true;
    }

    private @Nullable Account largestOther() {
      return accounts.values().stream()
          .flatMap(Set::stream)
          .filter(other -> other != this && other.standing != Standing.IN_PROGRESS)
          .filter(other -> other.bytes > 0 && other.bytes >= bytes)
          .max(Comparator.comparingLong(other -> other.bytes))
          .orElse(null);
    }

    private boolean add(long addedBytes) {
      bytes += addedBytes;
      heldBytes += addedBytes;
      return memory.add(addedBytes) && heldBytes <= maxBytes;
    }

    /**
     * Records that a request is complete and is processed from now on.
     *
     * @return whether it may be; a costly one is to be rejected as not run if too many are in
     *     progress
     */
    public boolean admit(long nowMillis) {
      long admittedBytes = bytes > ORDINARY_BYTES ? bytes : 0;
      if (admittedBytes > 0 && costlyBytes + admittedBytes > maxBytes * COSTLY_PART) {
        return false;
      }
      costlyInProgressBytes = admittedBytes;
      costlyBytes += admittedBytes;
      change(Standing.IN_PROGRESS, nowMillis);
      return true;
    }

    private void endProgress() {
      costlyBytes -= costlyInProgressBytes;
      costlyInProgressBytes = 0;
    }

    /** Returns whether the client has done what its address is for. */
    public boolean isProven() {
      return standing == Standing.IDLE || standing == Standing.IN_PROGRESS;
    }

    /** Gives back all that the connection holds. */
    public void close() {
      if (!closed) {
        endProgress();
        add(-bytes);
        closed = true;
        accountsAt(door).remove(this);
      }
    }
  }
}
