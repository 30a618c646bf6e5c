package org.sageladder.tools.load;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.sageladder.core.contract.Contract;
import org.sageladder.tools.load.Experiment.Fault;

/** A running system that an experiment sends requests to and injects faults into. */
public interface SystemUnderTest extends AutoCloseable {
  /** Addresses of the entry VMs' callers' ports, {@code IP:PORT}. */
  List<String> callerAddresses();

  /** Base URIs of the entry VMs' operators' ports; empty if their events cannot be fetched. */
  List<URI> operatorAddresses();

  /** The targets; empty if only the results that callers saw can be checked. */
  List<TargetView> targets();

  /**
   * Injects {@code fault} and undoes it after its duration.
   *
   * @return name of the affected VM, or a description of the change
   * @throws IOException if this system cannot inject the fault
   */
  String inject(Fault fault) throws IOException;

  /** Revision of the contract in force at each entry VM that answers, by VM name. */
  Map<String, Long> revisionsInForce() throws IOException;

  @Override
  void close();

  /** Starts a system for one variant of an experiment. */
  @FunctionalInterface
  interface Provider {
    /**
     * Starts a system and returns it once it is ready to serve.
     *
     * @param contract contract that the system runs
     */
    SystemUnderTest start(Contract contract, int entriesPerZone, Duration readyWithin)
        throws IOException, InterruptedException;

    /**
     * Returns a provider of the same system with the entry daemons of another build.
     *
     * @param directory directory that contains the other build's jars
     * @throws IOException if this provider cannot start the daemons of another build
     */
    default Provider ofBuild(Path directory) throws IOException {
      throw new IOException(
          "another build cannot be started next to processes that are already running; start its"
              + " entry VMs and pass them with --entries in a separate run");
    }
  }
}
