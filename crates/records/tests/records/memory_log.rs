//! In-memory log.

use std::sync::Arc;
use std::time::Duration;

use records::AppendError;
use records::Log;
use records::MemoryLog;
use records::ReadError;

#[test]
fn simulated_faults_return_the_errors_of_the_interface() {
    let log = MemoryLog::new();
    assert_eq!(log.append(b"1").unwrap(), 1);
    log.lose_answers(1);
    assert!(matches!(log.append(b"2"), Err(AppendError::Unknown(_))));
    log.set_down(true);
    assert!(matches!(log.append(b"3"), Err(AppendError::Refused(_))));
    let read = log.read(1, 9, Duration::ZERO);
    assert!(matches!(read, Err(ReadError::Unavailable(_))));
    log.set_down(false);
    assert_eq!(log.append(b"3").unwrap(), 3);
    log.expire_below(3);
    let read = log.read(2, 9, Duration::ZERO);
    assert!(matches!(read, Err(ReadError::Expired { first: 3 })));
    assert_eq!(log.read(3, 9, Duration::ZERO).unwrap().records[0].body, "3");
    assert_eq!(log.records(), ["1", "2", "3"]);
}

#[test]
fn read_waits_for_the_next_record() {
    let log = Arc::new(MemoryLog::new());
    let reader = log.clone();
    let reading = std::thread::spawn(move || reader.read(1, 9, Duration::from_secs(60)));
    log.append(b"1").unwrap();
    assert_eq!(reading.join().unwrap().unwrap().next, 2);
}
