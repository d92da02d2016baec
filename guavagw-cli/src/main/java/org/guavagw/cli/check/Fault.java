package org.guavagw.cli.check;

/** A failure or an operator action that is injected during a check run. */
interface Fault {
  /** Returns the name for scripts and reports. */
  String name();

  /** Injects the fault; may block while the fault lasts. */
  void inject(RecordedDeployment deployment) throws InterruptedException;
}
