//! Random faults, all of which end.

use cluster::Body;
use membership::Event;
use rand::RngExt;

use crate::fake_upstream::FakeUpstream;
use crate::world::Input;
use crate::world::MS;
use crate::world::SECOND;
use crate::world::World;

pub(crate) struct Faults {
    due: u64,
    until: u64,
}

impl Faults {
    pub(crate) fn new(due: u64, until: u64) -> Self {
        Self { due, until }
    }

    pub(crate) fn inject(&mut self, world: &mut World) {
        if world.at < self.due {
            return;
        }
        if world.at >= self.until {
            self.due = u64::MAX;
            heal(world);
            return;
        }
        self.due = world.at + world.rng.random_range(100 * MS..2 * SECOND);
        inject(world);
    }
}

fn heal(world: &mut World) {
    world.cuts.clear();
    world.is_log_down = false;
    world.late = 0.0;
    world.lost = 0.0;
    for node in &mut world.nodes {
        node.is_cut_from_log = false;
    }
}

fn inject(world: &mut World) {
    let index = world.rng.random_range(0..world.nodes.len());
    let other = world.rng.random_range(0..world.nodes.len());
    let pause = world.at + world.rng.random_range(0..6 * SECOND);
    let kind = world.rng.random_range(0..16);
    let node = &mut world.nodes[index];
    match kind {
        0 | 1 => node.paused_until = pause,
        2 => node.upstream.paused_until = pause,
        3 => node.is_cut_from_log = !node.is_cut_from_log,
        4 => {
            world.cuts.insert((index, other));
        }
        5 | 6 => {
            world.cuts.insert((index, other));
            world.cuts.insert((other, index));
        }
        7 => world.cuts.clear(),
        8 => world.is_log_down = !world.is_log_down,
        9 => world.late = 0.3 - world.late,
        10 => world.lost = 0.3 - world.lost,
        11 if node.is_up => {
            node.kill();
            let after = world.rng.random_range(100 * MS..4 * SECOND);
            world.schedule(after, index, Input::Restart);
        }
        12 => {
            let instance = format!("{index}/{}", world.at);
            node.upstream = FakeUpstream::new(world.at, node.upstream.rate, instance);
            world.schedule(MS, index, Input::Home(Event::UpstreamLost));
        }
        14 if node.is_up => {
            let gone = node.agent.status(node.now(world.at)).incarnation;
            node.kill();
            world.schedule(5 * SECOND, index, Input::Restart);
            if let Some(incarnation) = gone {
                let vm = world.nodes[index].vm.clone();
                world.operate(Body::DeclareLost { vm, incarnation });
            }
        }
        15 => {
            let fleet = node.agent.fleet();
            let zone = "zone-0".to_owned();
            let out = !fleet.is_zone_out(&zone);
            let base = fleet.zone_version(&zone);
            world.operate(Body::Zone {
                zone,
                out,
                base,
                position: 0,
            });
        }
        13 => world.schedule(0, index, Input::Home(Event::Stop)),
        _ => {}
    }
}
