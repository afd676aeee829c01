package org.curranthaven.internal.standin;

import java.util.ArrayList;
import java.util.List;
import org.curranthaven.api.Model;
import org.curranthaven.api.PlainService;
import org.curranthaven.api.ServiceClass;
import org.curranthaven.api.Targets;
import org.curranthaven.api.Workspace;
import org.curranthaven.internal.configuration.Edit;
import org.curranthaven.internal.gateway.Hashes;

/** The two users' shapes of work: classes with their targets, and kinds of requests. */
public final class Workloads {
  /** Model of the archive. */
  public static final String STORY = "story";

  /** Model of the lounges. */
  public static final String LOUNGE = "lounge";

  /** Plain service of the lounges' desks. */
  public static final String DESK = "desk";

  /** Plain service of the archive. */
  public static final String ARCHIVE = "archive";

  /** Bearer key of the load's workspace. */
  public static final String KEY = "demo-key";

  private Workloads() {}

  /** Returns the classes. */
  public static List<ServiceClass> classes() {
    return List.of(
        new ServiceClass("door", new Targets(400, 100, 5_000), true),
        new ServiceClass("note", new Targets(1_000, 100, 20_000), true),
        new ServiceClass("summary", new Targets(2_500, 120, 180_000), true),
        new ServiceClass("draft", new Targets(4_000, 120, 600_000), true),
        new ServiceClass("tag", new Targets(2_000, 200, 30_000), false),
        new ServiceClass("hold", new Targets(500, 500, 5_000), false),
        new ServiceClass("charge", new Targets(800, 800, 5_000), false),
        new ServiceClass("page", new Targets(500, 500, 5_000), true));
  }

  /** Returns the kinds of requests of both users. */
  public static List<WorkKind> kinds() {
    return List.of(
        new WorkKind("door", LOUNGE, false, true, 60, 8, 0.3, 8),
        new WorkKind("note", LOUNGE, false, true, 120, 50, 0.4, 3),
        new WorkKind("summary", LOUNGE, false, true, 400, 300, 0.5, 1),
        new WorkKind("draft", STORY, false, true, 200, 400, 0.6, 1.5),
        new WorkKind("tag", STORY, false, false, 300, 20, 0.4, 2),
        new WorkKind("hold", DESK, true, false, 0, 0, 0, 5),
        new WorkKind("charge", DESK, true, false, 0, 0, 0, 2),
        new WorkKind("page", ARCHIVE, true, false, 0, 0, 0, 5));
  }

  /** Returns the edits that configure everything the load needs. */
  public static List<Edit> configuration() {
    List<Edit> edits = new ArrayList<>();
    classes().forEach(serviceClass -> edits.add(new Edit.PutClass(serviceClass)));
    edits.add(new Edit.PutModel(new Model(STORY, 8_192)));
    edits.add(new Edit.PutModel(new Model(LOUNGE, 4_096)));
    edits.add(new Edit.PutService(new PlainService(DESK, "hold")));
    edits.add(new Edit.PutService(new PlainService(ARCHIVE, "page")));
    edits.add(new Edit.PutWorkspace(new Workspace("demo", Hashes.sha256Hex(KEY), "note", 0)));
    return edits;
  }
}
