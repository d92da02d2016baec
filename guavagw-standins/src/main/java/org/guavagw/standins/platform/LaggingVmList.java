package org.guavagw.standins.platform;

import com.google.common.base.Ticker;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.Vm;
import org.guavagw.platform.VmList;
import org.guavagw.standins.fault.CallFaultInjector;
import org.guavagw.standins.fault.LaggedValue;

/** A settable list of VMs that readers see with a lag. Thread-safe. */
public final class LaggingVmList implements VmList {
  private final LaggedValue<List<Vm>> vms;
  private final CallFaultInjector faults;

  /** Starts with a list that is visible at once. */
  public LaggingVmList(Ticker ticker, Duration lag, List<Vm> first) {
    this.vms = new LaggedValue<>(ticker, lag, List.copyOf(first));
    this.faults = new CallFaultInjector(0);
  }

  /** Sets the list. */
  public void set(List<Vm> now) {
    vms.set(List.copyOf(now));
  }

  /** Returns the faults, which can be set. */
  public CallFaultInjector faults() {
    return faults;
  }

  @Override
  public Either<PlatformFailure, List<Vm>> vms() {
    return faults.call(() -> Either.right(vms.get()));
  }
}
