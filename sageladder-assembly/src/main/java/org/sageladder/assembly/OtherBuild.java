package org.sageladder.assembly;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Starts entry daemons of another build, such as that of the previous commit, in this process.
 *
 * <p>Their classes are loaded from that build's jars by a separate class loader that does not see
 * the classes of this build. Both builds therefore run side by side under the same conditions
 * without a second process. Only the methods below are called, by reflection.
 */
final class OtherBuild implements EntryBuild {
  private static final String DAEMON_CLASS = "org.sageladder.entry.EntryDaemon";
  private static final String SETTINGS_CLASS = "org.sageladder.entry.settings.EntrySettings";

  private final Path directory;
  private final Class<?> daemon;
  private final Class<?> settings;

  private OtherBuild(Path directory, Class<?> daemon, Class<?> settings) {
    this.directory = directory;
    this.daemon = daemon;
    this.settings = settings;
  }

  /**
   * Loads the build whose jars are in {@code directory}; {@code bin/build} puts them into {@code
   * sageladder-dist/target/lib}.
   *
   * @throws IOException if there are no jars or they contain no entry daemon
   */
  static OtherBuild of(Path directory) throws IOException {
    List<URL> jars = new ArrayList<>();
    try (Stream<Path> files = Files.list(directory)) {
      for (Path jar : files.filter(file -> file.toString().endsWith(".jar")).sorted().toList()) {
        jars.add(jar.toUri().toURL());
      }
    }
    // Never closed: threads of the daemons load classes until the process ends.
    URLClassLoader loader =
        new URLClassLoader(
            "other-build", jars.toArray(new URL[0]), ClassLoader.getPlatformClassLoader());
    try {
      return new OtherBuild(
          directory, loader.loadClass(DAEMON_CLASS), loader.loadClass(SETTINGS_CLASS));
    } catch (ClassNotFoundException e) {
      throw new IOException(
          "'"
              + directory
              + "' contains no build of sageladder ("
              + jars.size()
              + " jars); give the directory of its jars, such as sageladder-dist/target/lib",
          e);
    }
  }

  @Override
  public EntryVm start(String name, String yaml) throws IOException {
    Object parsed =
        call(null, findMethod(settings, "parse", String.class, String.class), name, yaml);
    return new OtherBuildVm(call(null, findMethod(daemon, "start", settings), parsed));
  }

  private Method findMethod(Class<?> type, String name, Class<?>... parameters) throws IOException {
    try {
      return type.getMethod(name, parameters);
    } catch (NoSuchMethodException e) {
      throw new IOException("the build in '" + directory + "' is incompatible: " + e, e);
    }
  }

  private static Object call(@Nullable Object receiver, Method method, Object... arguments)
      throws IOException {
    try {
      return method.invoke(receiver, arguments);
    } catch (InvocationTargetException e) {
      throw new IOException(method.getName() + " failed in the other build: " + e.getCause(), e);
    } catch (IllegalAccessException e) {
      throw new IOException(method + " cannot be called", e);
    }
  }

  /** A daemon whose class belongs to the other build, called by reflection. */
  private final class OtherBuildVm implements EntryVm {
    private final Object vm;

    OtherBuildVm(Object vm) {
      this.vm = vm;
    }

    @Override
    public int callersPort() {
      return (int) invoke("callersPort");
    }

    @Override
    public int innerPort() {
      return (int) invoke("innerPort");
    }

    @Override
    public int operatorsPort() {
      return (int) invoke("operatorsPort");
    }

    @Override
    public boolean isServing(int members) {
      try {
        return (boolean) call(vm, findMethod(daemon, "isServing", int.class), members);
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    @Override
    public void stop() {
      invoke("stop");
    }

    @Override
    public void close() {
      invoke("close");
    }

    private Object invoke(String name) {
      try {
        return call(vm, findMethod(daemon, name));
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }
}
