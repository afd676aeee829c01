/** Starts a case by its name; what goes wrong in the case itself ends with status 2. */
final class Play {
  /** A case, which ends by a verdict. */
  interface Case {
    void play(String[] arguments) throws Exception;
  }

  private Play() {}

  public static void main(String[] arguments) {
    try {
      byName(arguments[0]).play(new String[] {arguments[1]});
      System.exit(2);
    } catch (Throwable e) {
      e.printStackTrace();
      System.exit(2);
    }
  }

  private static Case byName(String name) {
    return switch (name) {
      case "LongBodies" -> LongBodies::main;
      case "ForeignPings" -> ForeignPings::main;
      case "CrashedStreams" -> CrashedStreams::main;
      default -> throw new IllegalArgumentException("no case " + name);
    };
  }
}
