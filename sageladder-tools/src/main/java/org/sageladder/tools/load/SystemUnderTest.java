package org.sageladder.tools.load;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.sageladder.core.contract.Contract;
import org.sageladder.tools.load.Experiment.Fault;

/** A running system that an experiment sends to and breaks. */
public interface SystemUnderTest extends AutoCloseable {
  /** Callers' addresses of entry VMs, {@code IP:PORT}. */
  List<String> callerAddresses();

  /** Operators' ports of the entry VMs; empty where their events cannot be fetched. */
  List<URI> operatorAddresses();

  /** The targets; empty where only callers' results can be checked. */
  List<TargetView> targets();

  /**
   * Does what {@code fault} says, and undoes it after its length.
   *
   * @return name of the VM that was hit, or of the change
   * @throws IOException where this system cannot do it
   */
  String inject(Fault fault) throws IOException;

  /** Revision of the contract in force at each entry VM that answers, by VM. */
  Map<String, Long> revisionsInForce() throws IOException;

  @Override
  void close();

  /** Starts a system for one variant of an experiment. */
  @FunctionalInterface
  interface Provider {
    /**
     * A system that is ready to serve.
     *
     * @param contract contract that the system is to run
     */
    SystemUnderTest start(Contract contract, int entriesPerZone, Duration readyWithin)
        throws IOException, InterruptedException;

    /**
     * The same system with the entry daemons of another build.
     *
     * @param directory the other build's jars
     * @throws IOException where this provider cannot start another build's
     */
    default Provider ofBuild(Path directory) throws IOException {
      throw new IOException(
          "another build cannot be started beside processes that run already; start its entry VMs"
              + " and name them with --entries in a run of its own");
    }
  }
}
