package org.sageladder.tools.ctl;

import java.io.PrintStream;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.store.Store;
import org.sageladder.platform.settings.DurationText;
import org.sageladder.platform.settings.ExitCode;
import org.sageladder.platform.settings.SettingPatterns;
import org.sageladder.platform.store.HttpStore;

/** Options and operands of one invocation of a command, and its output streams. */
record Invocation(CommandLine commandLine, PrintStream out, PrintStream err) {
  static final String STORE = "store";
  static final String TIMEOUT = "timeout";
  static final String AUTHOR = "author";
  static final String OPERATORS = "operators";
  static final String STORE_ENVIRONMENT_VARIABLE = "SAGELADDER_STORE";

  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(5);

  List<String> operands() {
    return commandLine.getArgList();
  }

  String operand(int index) {
    return operands().get(index);
  }

  @Nullable String option(String name) {
    return commandLine.getOptionValue(name);
  }

  Duration duration(String name, Duration defaultValue) throws CtlException {
    String text = option(name);
    if (text == null) {
      return defaultValue;
    }
    Optional<Duration> duration = DurationText.parse(text);
    if (duration.isEmpty() || duration.get().isZero()) {
      throw usage("--" + name + " '" + text + "' is not a duration; give one such as 250ms or 6s");
    }
    return duration.get();
  }

  Duration timeout() throws CtlException {
    return duration(TIMEOUT, DEFAULT_TIMEOUT);
  }

  String author() throws CtlException {
    String author = option(AUTHOR);
    String name = author == null ? System.getProperty("user.name", "") : author;
    if (name.isBlank()) {
      throw usage("no author; give --author NAME");
    }
    return name;
  }

  Store store() throws CtlException {
    String uri = option(STORE);
    if (uri == null) {
      uri = System.getenv(STORE_ENVIRONMENT_VARIABLE);
    }
    if (uri == null) {
      throw usage("no store; give --store URI or set " + STORE_ENVIRONMENT_VARIABLE);
    }
    if (!SettingPatterns.HTTP_URI.matcher(uri).matches()) {
      throw usage("--store '" + uri + "' is not allowed; give " + SettingPatterns.HTTP_URI_ALLOWED);
    }
    return HttpStore.connect(URI.create(uri), timeout());
  }

  /** Returns the base URIs of the operators' ports given on the command line. */
  List<URI> operators() throws CtlException {
    List<URI> uris = new ArrayList<>();
    String addresses = option(OPERATORS);
    if (addresses == null) {
      return uris;
    }
    for (String address : addresses.split(",")) {
      if (!SettingPatterns.ADDRESS.matcher(address).matches()) {
        throw usage(
            "--operators '"
                + address
                + "' is not allowed; give "
                + SettingPatterns.ADDRESS_ALLOWED);
      }
      uris.add(URI.create("http://" + address));
    }
    return uris;
  }

  List<URI> requiredOperators() throws CtlException {
    List<URI> uris = operators();
    if (uris.isEmpty()) {
      throw usage("no entry VM given; give --operators IP:PORT[,IP:PORT...]");
    }
    return uris;
  }

  static CtlException usage(String message) {
    return new CtlException(ExitCode.USAGE, message);
  }
}
