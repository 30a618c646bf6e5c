package review;

import java.nio.file.Path;
import java.util.Map;

/** Runs one case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class Case {
  private static final int COULD_NOT_RUN = 2;
  private static final long MAX_MILLIS = 115_000;

  /** What a case does with a deployment. */
  interface Body {
    /** Returns true if the rule held. */
    boolean run(Deployment deployment, boolean isTroubled) throws Exception;
  }

  private Case() {}

  /** Runs {@code body} and ends this process; {@code arguments} has the path of the record. */
  static void run(String[] arguments, Map<String, String> zones, Body body) {
    boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    int code = COULD_NOT_RUN;
    try (Deployment deployment = new Deployment(Path.of(arguments[0]), zones)) {
      Runtime.getRuntime().addShutdownHook(new Thread(deployment::killVms));
      endLater();
      deployment.note(isTroubled ? "with the disruption" : "without the disruption");
      try {
        boolean held = body.run(deployment, isTroubled);
        deployment.note(held ? "the rule held" : "the rule was broken");
        code = held ? 0 : 1;
      } catch (Exception e) {
        deployment.note("the case could not run: " + e);
      }
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(code);
  }

  private static void endLater() {
    Thread thread =
        new Thread(
            () -> {
              try {
                Thread.sleep(MAX_MILLIS);
                System.exit(COULD_NOT_RUN);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    thread.setDaemon(true);
    thread.start();
  }
}
