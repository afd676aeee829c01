package org.curranthaven.internal.membership;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import org.curranthaven.api.Names;

/**
 * What a backend server says of itself.
 *
 * @param name name of the server
 * @param incarnation start time of its process; a later one replaces an earlier one
 * @param sequence number of the announcement within the incarnation
 * @param address IP address and port for calls
 * @param dataCentre data centre it stands in
 * @param models models and adapters it serves
 * @param service plain service it serves; empty for an engine
 * @param role role of an engine, such as {@code general} or {@code prefill}
 * @param blocksTotal memory blocks in all; 0 for a plain service
 * @param blocksFree memory blocks free
 * @param running requests being served
 * @param waiting requests waiting inside
 * @param maxBatch most requests served at once; 0 when it does not say
 * @param honoursPriority whether it serves lower priorities first
 * @param resume which generations it can resume
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param state whether it takes new work
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record BackendAnnouncement(
    String name,
    long incarnation,
    long sequence,
    String address,
    String dataCentre,
    List<String> models,
    String service,
    String role,
    int blocksTotal,
    int blocksFree,
    int running,
    int waiting,
    int maxBatch,
    boolean honoursPriority,
    Resume resume,
    boolean checksFencing,
    State state) {

  /** Which generations a server can resume. */
  public enum Resume {
    /** None. */
    NONE,
    /** Those that it runs itself. */
    OWN,
    /** Also those of another server, as the same generation, from the tokens so far. */
    TAKEOVER
  }

  /** Whether a server takes new work. */
  public enum State {
    /** It does. */
    READY,
    /** It finishes what it has. */
    LEAVING,
    /** It is taken away soon; streams should move. */
    RECLAIMED
  }

  public BackendAnnouncement {
    Names.requireName("backend server", name);
    if (address == null || !address.matches("[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}")) {
      throw new IllegalArgumentException("address must be IP:PORT, but is '" + address + "'");
    }
    if (blocksTotal < 0 || blocksFree < 0 || blocksFree > blocksTotal) {
      throw new IllegalArgumentException("blocksFree must lie between 0 and blocksTotal");
    }
    if (running < 0 || waiting < 0 || maxBatch < 0 || sequence < 0 || incarnation < 0) {
      throw new IllegalArgumentException("counts and numbers must not be negative");
    }
    dataCentre = dataCentre == null ? "" : dataCentre;
    models = models == null ? List.of() : List.copyOf(models);
    service = service == null ? "" : service;
    role = role == null ? "" : role;
    resume = resume == null ? Resume.NONE : resume;
    state = state == null ? State.READY : state;
  }

  /** Returns whether this was sent after {@code other} by the same server. */
  public boolean isNewerThan(BackendAnnouncement other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : sequence > other.sequence;
  }
}
