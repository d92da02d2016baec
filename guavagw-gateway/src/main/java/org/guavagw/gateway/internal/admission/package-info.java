/** Decides which requests start, wait or are refused while backend servers have too little room. */
package org.guavagw.gateway.internal.admission;
